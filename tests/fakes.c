/* The world around the nodes: stand-ins of the state service, the cloud, the workers and the users
 * by the published protocol, and a plain checker of the rules. Time and messages are the backend's.
 */
#include "fakes.h"
#include "liveness.h"
#include "constants.h"
#include "shard.h"
#include "wire.h"
#include <math.h>
#include <string.h>

#define TXN_BYTES 65536     /* of a transaction, by the protocol */
#define RECORDS "c/berths/" /* prefix of the parts' records of their machines */

Fakes fakes;

void
record_violation (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_string_append_printf (fakes.violations, "%.3f ", sim_now ());
  g_string_append_vprintf (fakes.violations, format, args);
  g_string_append_c (fakes.violations, '\n');
  va_end (args);
}

/* --- network ---------------------------------------------------------------------------- */
typedef struct {
  char *from, *to;
  GSourceFunc func;
  gpointer data;
} Message;

SimLinkState
fakes_link_state (const char *from, const char *to)
{
  g_autofree char *key = g_strdup_printf ("%s>%s", from, to);
  return GPOINTER_TO_INT (g_hash_table_lookup (fakes.links, key));
}

void
fakes_deliver (const char *from, const char *to, GSourceFunc func, gpointer data)
{
  SimLinkState c = fakes_link_state (from, to);
  if (c == SIM_LINK_DROP)
    return;
  if (c == SIM_LINK_HOLD) {
    Message *m = g_new (Message, 1);
    *m = (Message){ g_strdup (from), g_strdup (to), func, data };
    g_ptr_array_add (fakes.held_messages, m);
    return;
  }
  double late = g_str_equal (from, "state") ? g_rand_double (fakes.rng) * fakes.state_delay_s : 0;
  schedule_after (late + g_rand_double_range (fakes.rng, 0.0003, 0.004), func, data);
}

void
sim_set_link (const char *from, const char *to, SimLinkState how)
{
  g_hash_table_replace (fakes.links, g_strdup_printf ("%s>%s", from, to), GINT_TO_POINTER (how));
  if (how != SIM_LINK_UP)
    return;
  g_autoptr (GPtrArray) old = g_steal_pointer (&fakes.held_messages);
  fakes.held_messages = g_ptr_array_new ();
  for (guint i = 0; i < old->len; i++) {
    Message *m = old->pdata[i];
    fakes_deliver (m->from, m->to, m->func, m->data);
    g_free (m->from);
    g_free (m->to);
    g_free (m);
  }
}

void
sim_set_link_both (const char *a, const char *b, SimLinkState how)
{
  sim_set_link (a, b, how);
  sim_set_link (b, a, how);
}

/* A late copy of a request: nobody reads its answer. */
typedef struct {
  char *from, *method, *to, *path;
  json_t *body;
} Copy;

gboolean fakes_sending_duplicate;

static void
copy_answered (guint status, json_t *body, gpointer data)
{
}

static gboolean
copy_arrives (gpointer data)
{
  Copy *c = data;
  fakes_sending_duplicate = TRUE;
  fakes_call (c->from, c->method, c->to, c->path, c->body, 4, copy_answered, NULL);
  fakes_sending_duplicate = FALSE;
  g_free (c->from);
  g_free (c->method);
  g_free (c->to);
  g_free (c->path);
  g_free (c);
  return FALSE;
}

void
fakes_send_duplicate_later (const char *from, const char *method, const char *to, const char *path,
                            json_t *body)
{
  Copy *c = g_new (Copy, 1);
  *c = (Copy){ g_strdup (from), g_strdup (method), g_strdup (to), g_strdup (path),
               json_deep_copy (body) };
  schedule_after (exp (g_rand_double_range (fakes.rng, 0, log (60))), copy_arrives, c);
}

/* --- the state service ---------------------------------------------------------------------- */
typedef struct {
  json_t *value;
  guint64 mark, lease;
} Entry;

typedef struct {
  gint64 until;
  guint life_ms;
} Lease;

typedef struct {
  char *key;
  json_t *value; /* NULL: removed */
  guint64 mark;
} Change;

typedef struct {
  Call *call;
  char *prefix;
  guint64 from;
  gint64 until;
} Follow;

static void
entry_free (gpointer p)
{
  json_decref (((Entry *) p)->value);
  g_free (p);
}

static json_t *
changes_after (const char *prefix, guint64 from)
{
  json_t *a = json_array ();
  guint first = fakes.changes->len;
  while (first && g_array_index (fakes.changes, Change, first - 1).mark > from)
    first--;
  for (guint i = first; i < fakes.changes->len; i++) {
    Change *c = &g_array_index (fakes.changes, Change, i);
    if (!g_str_has_prefix (c->key, prefix))
      continue;
    json_array_append_new (
        a, c->value ? json_pack ("{ss sO sI}", "Put", c->key, "Value", c->value, "Mark",
                                 (json_int_t) c->mark)
                    : json_pack ("{ss sI}", "Remove", c->key, "Mark", (json_int_t) c->mark));
  }
  return a;
}

static gboolean
refused (const char *from)
{
  return fakes.outage || (from[0] == 'n' && fakes.refuse_node[atoi (from + 1)]);
}

typedef struct {
  Call *call;
  json_t *answer;
} LateAnswer;

static gboolean
answer_late (gpointer data)
{
  LateAnswer *late = data;
  fakes_respond (late->call, 200, late->answer);
  g_free (late);
  return FALSE;
}

/* What has changed by now; it may be under way for long. */
static void
answer_follow (Call *call, json_t *events)
{
  LateAnswer *late = g_new (LateAnswer, 1);
  *late = (LateAnswer){ call, json_pack ("{sI so}", "Ledger", (json_int_t) fakes.revision, "Events",
                                         events) };
  if (fakes.watch_delay_s > 0)
    schedule_after (fakes.watch_delay_s, answer_late, late);
  else
    answer_late (late);
}

static void
wake_follows (void)
{
  for (guint i = fakes.watches->len; i-- > 0;) {
    Follow *f = fakes.watches->pdata[i];
    if (refused (f->call->from))
      continue;
    json_t *a = changes_after (f->prefix, f->from);
    if (json_array_size (a) == 0 && fakes.now < f->until) {
      json_decref (a);
      continue;
    }
    answer_follow (f->call, a);
    g_ptr_array_remove_index (fakes.watches, i);
  }
}

static gboolean
wake_later (gpointer data)
{
  wake_follows ();
  return FALSE;
}

static void
change (const char *key, json_t *value, guint64 lease)
{
  Change c = { g_strdup (key), json_incref (value), fakes.revision };
  g_array_append_val (fakes.changes, c);
  if (value) {
    Entry *e = g_new (Entry, 1);
    *e = (Entry){ json_incref (value), fakes.revision, lease };
    g_hash_table_replace (fakes.store, g_strdup (key), e);
  } else
    g_hash_table_remove (fakes.store, key);
}

static void
remove_keys_of (guint64 lease)
{
  g_autoptr (GList) keys = g_hash_table_get_keys (fakes.store);
  fakes.revision++;
  for (GList *l = keys; l; l = l->next) {
    Entry *e = g_hash_table_lookup (fakes.store, l->data);
    if (e->lease == lease) {
      g_autofree char *key = g_strdup (l->data);
      change (key, NULL, 0);
    }
  }
}

static gboolean
expire_leases (gpointer data)
{
  GHashTableIter it;
  gpointer id, value;
  g_hash_table_iter_init (&it, fakes.leases);
  while (!fakes.outage && g_hash_table_iter_next (&it, &id, &value)) {
    if (((Lease *) value)->until > fakes.now)
      continue;
    remove_keys_of (*(guint64 *) id);
    g_hash_table_iter_remove (&it);
  }
  wake_follows ();
  schedule_after (0.05, expire_leases, NULL);
  return FALSE;
}

void
sim_state_outage (gboolean on)
{
  GHashTableIter it;
  gpointer value;
  fakes.outage = on;
  g_hash_table_iter_init (&it, fakes.leases);
  while (!on && g_hash_table_iter_next (&it, NULL, &value))
    ((Lease *) value)->until = fakes.now + (gint64) ((Lease *) value)->life_ms * 1000;
}

guint
sim_recorded_machines (void)
{
  GHashTableIter it;
  gpointer key, value;
  guint n = 0;
  g_hash_table_iter_init (&it, fakes.store);
  while (g_hash_table_iter_next (&it, &key, &value))
    if (g_str_has_prefix (key, RECORDS))
      n += (guint) json_object_size (((Entry *) value)->value);
  return n;
}

void
sim_state_put (const char *key, const char *value)
{
  json_t *v = json_loads (value, JSON_DECODE_ANY, NULL);
  fakes.revision++;
  change (key, v, 0);
  json_decref (v);
  wake_follows ();
}

void
sim_state_remove (const char *key)
{
  fakes.revision++;
  change (key, NULL, 0);
  wake_follows ();
}

json_t *
fakes_stored_value (const char *key)
{
  const Entry *entry = g_hash_table_lookup (fakes.store, key);
  return entry ? entry->value : NULL;
}

gboolean
sim_state_has (const char *key)
{
  return g_hash_table_contains (fakes.store, key);
}

int
sim_shard_owner (guint shard)
{
  g_autofree char *key = g_strdup_printf ("c/owner/%u", shard);
  const char *name = json_string_value (json_object_get (fakes_stored_value (key), "Node"));
  return name ? atoi (name + strlen ("berth-")) : -1;
}

guint64
sim_state_revision (const char *key)
{
  const Entry *e = g_hash_table_lookup (fakes.store, key);
  return e ? e->mark : 0;
}

void
sim_watch_delay (double seconds)
{
  fakes.watch_delay_s = seconds;
}

void
sim_state_delay (double seconds)
{
  fakes.state_delay_s = seconds;
}

void
sim_delay_commits (double share)
{
  fakes.delayed_commit_share = share;
}

void
sim_hold_commits (const char *prefix, guint n, double seconds)
{
  g_free (fakes.hold_prefix);
  fakes.hold_prefix = g_strdup (prefix);
  fakes.hold_commits = n;
  fakes.hold_commits_s = seconds;
}

guint
sim_commits_left_to_hold (void)
{
  return fakes.hold_commits;
}

/* Whether sim_hold_commits means it. */
static gboolean
held_commit (const Call *c)
{
  json_t *o;
  size_t i;
  if (!fakes.hold_commits)
    return FALSE;
  json_array_foreach (json_object_get (c->body, "Writes"), i, o)
  {
    const char *put = json_string_value (json_object_get (o, "Put"));
    if (put && g_str_has_prefix (put, fakes.hold_prefix)) {
      fakes.hold_commits--;
      return TRUE;
    }
  }
  return FALSE;
}

void
sim_state_refuse_node (guint node, gboolean on)
{
  fakes.refuse_node[node] = on;
}

void
sim_state_refuse_range_reads (guint node, gboolean on)
{
  fakes.refuse_range_reads[node] = on;
}

void
sim_drop_commit_responses (guint n)
{
  fakes.drop_commit_responses = n;
}

/* The limits that the settings and the protocol tell. */
static void
check_size (const Call *c, json_t *writes)
{
  json_t *o;
  size_t i;
  g_assert_cmpuint (json_array_size (writes), <=, 12);
  g_assert_cmpuint (json_array_size (json_object_get (c->body, "When")), <=, 48);
  if (json_dumpb (c->body, NULL, 0, JSON_COMPACT) > TXN_BYTES)
    record_violation ("a transaction of more than %d bytes", TXN_BYTES);
  json_array_foreach (writes, i, o)
  {
    json_t *v = json_object_get (o, "Value");
    if (v &&
        json_dumpb (v, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY) > fakes.options.value_kb * 1024)
      record_violation ("a value of more than %g KiB: %s", fakes.options.value_kb,
                        json_string_value (json_object_get (o, "Put")));
  }
}

static guint64
lease_of (json_t *write)
{
  return (guint64) json_integer_value (json_object_get (write, "Permit"));
}

static gboolean
leases_stand (json_t *writes)
{
  json_t *o;
  size_t i;
  json_array_foreach (writes, i, o)
  {
    guint64 lease = lease_of (o);
    if (lease && !g_hash_table_contains (fakes.leases, &lease))
      return FALSE;
  }
  return TRUE;
}

/* Keys that are not at the revision which the transaction names. */
static json_t *
conflicts (const Call *c)
{
  json_t *failed = json_array (), *o;
  size_t i;
  json_array_foreach (json_object_get (c->body, "When"), i, o)
  {
    const char *key = json_string_value (json_object_get (o, "Key"));
    Entry *e = g_hash_table_lookup (fakes.store, key);
    if ((guint64) json_integer_value (json_object_get (o, "Mark")) != (e ? e->mark : 0))
      json_array_append_new (failed, json_string (key));
  }
  return failed;
}

/* A machine stands in one part's record at most: otherwise two owners start tasks on it. */
static void
check_records (void)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer key, value;
  const char *id;
  json_t *address;
  g_hash_table_iter_init (&it, fakes.store);
  while (g_hash_table_iter_next (&it, &key, &value)) {
    if (!g_str_has_prefix (key, RECORDS))
      continue;
    json_object_foreach (((Entry *) value)->value, id, address)
    {
      if (!g_hash_table_add (seen, (gpointer) id))
        record_violation ("in two records: %s", id);
    }
  }
}

static void
carry_out_writes (json_t *writes)
{
  json_t *o;
  size_t i;
  gboolean records = FALSE;
  fakes.revision++;
  json_array_foreach (writes, i, o)
  {
    const char *put = json_string_value (json_object_get (o, "Put"));
    if (put)
      change (put, json_object_get (o, "Value"), lease_of (o));
    else
      change (json_string_value (json_object_get (o, "Remove")), NULL, 0);
    records |= put && g_str_has_prefix (put, RECORDS);
  }
  if (records)
    check_records ();
}

/* FALSE: more changes than the service takes. */
static gboolean
within_write_limit (json_t *writes)
{
  fakes.write_tokens =
      MIN (fakes.options.write_rps, fakes.write_tokens + (fakes.now - fakes.write_tokens_at) / 1e6 *
                                                             fakes.options.write_rps);
  fakes.write_tokens_at = fakes.now;
  if (fakes.write_tokens < 0)
    return FALSE;
  fakes.write_tokens -= (double) json_array_size (writes);
  return TRUE;
}

static void
commit (Call *c)
{
  json_t *writes = json_object_get (c->body, "Writes");
  check_size (c, writes);
  if (!within_write_limit (writes)) {
    fakes_respond (c, 429, NULL);
    return;
  }
  if (!leases_stand (writes)) {
    fakes_respond (c, 400, json_pack ("{ss}", "error", "no such lease"));
    return;
  }
  json_t *failed = conflicts (c);
  if (json_array_size (failed)) {
    fakes_respond (c, 409,
                   json_pack ("{so sI}", "failed", failed, "Ledger", (json_int_t) fakes.revision));
    return;
  }
  json_decref (failed);
  carry_out_writes (writes);
  if (fakes.drop_commit_responses)
    fakes.drop_commit_responses--;
  else
    fakes_respond (c, 200, json_pack ("{sI}", "Ledger", (json_int_t) fakes.revision));
  schedule_after (0, wake_later, NULL);
}

static gboolean
commit_late (gpointer data)
{
  Call *c = data;
  if (!fakes.outage)
    commit (c);
  return FALSE;
}

static char *
query (const char *path, const char *name)
{
  g_autofree char *want = g_strconcat (name, "=", NULL);
  const char *q = strchr (path, '?');
  g_auto (GStrv) shards = g_strsplit (q ? q + 1 : "", "&", -1);
  for (char **p = shards; *p; p++)
    if (g_str_has_prefix (*p, want))
      return g_strdup (*p + strlen (want));
  return NULL;
}

static int
by_text (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static void
scan (Call *c)
{
  g_autofree char *prefix = query (c->path, "Prefix"), *after = query (c->path, "From");
  g_autoptr (GList) keys = g_list_sort (g_hash_table_get_keys (fakes.store), by_text);
  json_t *items = json_array ();
  for (GList *l = keys; l; l = l->next) {
    Entry *e = g_hash_table_lookup (fakes.store, l->data);
    if (g_str_has_prefix (l->data, prefix) && (!after || strcmp (l->data, after) > 0))
      json_array_append_new (items, json_pack ("{ss sO sI}", "Key", l->data, "Value", e->value,
                                               "Mark", (json_int_t) e->mark));
  }
  fakes_respond (
      c, 200,
      json_pack ("{so sb sI}", "Items", items, "More", 0, "Ledger", (json_int_t) fakes.revision));
}

guint
sim_leases_revoked (void)
{
  return fakes.leases_revoked;
}

guint
sim_state_request_count (void)
{
  return fakes.state_requests;
}

static gboolean
reads_refused (const Call *c)
{
  return g_str_has_prefix (c->from, "n") && fakes.refuse_range_reads[atoi (c->from + 1)] &&
         g_str_has_prefix (c->path, "/store?");
}

static void
state_answer (Call *c)
{
  fakes.state_requests++;
  if ((refused (c->from) && !g_str_has_prefix (c->path, "/follow")) || reads_refused (c))
    fakes_respond (c, 503, NULL);
  else if (g_str_has_prefix (c->path, "/store?"))
    scan (c);
  else if (g_str_has_prefix (c->path, "/store/")) {
    Entry *e = g_hash_table_lookup (fakes.store, c->path + strlen ("/store/"));
    if (e)
      fakes_respond (c, 200,
                     json_pack ("{ss sO sI}", "Key", c->path + strlen ("/store/"), "Value",
                                e->value, "Mark", (json_int_t) e->mark));
    else
      fakes_respond (c, 404, json_pack ("{sI}", "Ledger", (json_int_t) fakes.revision));
  } else if (g_str_equal (c->path, "/commit") && held_commit (c))
    schedule_after (fakes.hold_commits_s, commit_late, c);
  else if (g_str_equal (c->path, "/commit") &&
           g_rand_double (fakes.rng) < fakes.delayed_commit_share)
    schedule_after (g_rand_double_range (fakes.rng, 2, 12), commit_late, c);
  else if (g_str_equal (c->path, "/commit"))
    commit (c);
  else if (g_str_has_prefix (c->path, "/follow")) {
    Follow *f = g_new (Follow, 1);
    g_autofree char *from = query (c->path, "From"), *hold = query (c->path, "HoldMs");
    *f = (Follow){ c, query (c->path, "Prefix"), g_ascii_strtoull (from, NULL, 10),
                   fakes.now + (gint64) atoi (hold) * 1000 };
    g_ptr_array_add (fakes.watches, f);
    wake_follows ();
  } else if (g_str_has_prefix (c->path, "/leases")) {
    guint64 id = g_ascii_strtoull (c->path + strlen ("/leases") + (c->path[7] == '/'), NULL, 10);
    guint ms = (guint) json_integer_value (json_object_get (c->body, "LifeMs"));
    if (id && !g_hash_table_contains (fakes.leases, &id)) {
      fakes_respond (c, 404, NULL);
      return;
    }
    if (g_str_equal (c->method, "DELETE")) {
      fakes.leases_revoked++;
      g_hash_table_remove (fakes.leases, &id);
      remove_keys_of (id);
      wake_follows ();
      fakes_respond (c, 200, NULL);
      return;
    }
    if (!id)
      id = ++fakes.next_lease;
    Lease *l = g_new (Lease, 1);
    *l = (Lease){ fakes.now + (gint64) ms * 1000, ms };
    g_hash_table_replace (fakes.leases, g_memdup2 (&id, sizeof id), l);
    fakes_respond (c, 200, json_pack ("{sI}", "Permit", (json_int_t) id));
  } else
    fakes_respond (c, 400, NULL);
}

/* --- machines --------------------------------------------------------------------------------- */
typedef struct {
  char *job;
  guint index;
  guint64 attempt_id;
  const char *state, *why; /* pulling, running, exited */
  gint64 starts, ends;
  gboolean fails;
  gpointer on; /* its machine */
} Task;

typedef struct {
  char *id, *address, *zone;
  gint64 rented, up_at;
  gint64 began; /* its first task started; 0: not yet */
  gboolean up, dead, sick, hangs, mute;
  gboolean busy;        /* a report is under way */
  double slow;          /* times as long as a job's run time; 0: as long */
  double report_late_s; /* of the next report on its way */
  guint64 session, seq, token;
  guint unheard;
  gint64 last_ok, next_beat, last_beat, sent;
  guint node; /* reports to */
  GPtrArray *tasks;
  json_t *kept, *kept_before; /* reports: of at most ten seconds ago, and one before */
  gint64 kept_at;
} Machine;

/* A user's job and what the checker knows of it. */
typedef struct {
  char *id, *team;
  SimPlacement placing;
  guint tasks;
  double cpus, run_s;
  json_t *body;
  gboolean accepted, aborting, mistaken;
  gboolean late; /* it has not begun in time */
  char *told;
  gint64 cancelled_at;
  guint8 *completed;
  guint n_completed;
  gint64 complete_at;
  gint64 accepted_at; /* its user was told so first */
  gint64 answered_at; /* a question about it was answered last */
  gint64 began_at;    /* its first task started; 0: not yet */
  gint64 submitted_at;
  gint64 over_at; /* when it was told that it is over */
  gint64 room_at; /* since when it has waited beside room; 0: it does not */
} User;

/* It is not on its machine any more. */
static void
task_off (Task *t)
{
  g_autofree char *key = g_strdup_printf ("%s/%u", t->job, t->index);
  if (g_hash_table_lookup (fakes.running_tasks, key) == t)
    g_hash_table_remove (fakes.running_tasks, key);
}

static void
task_free (gpointer p)
{
  task_off (p);
  g_free (((Task *) p)->job);
  g_free (p);
}

static Task *
task_find (Machine *m, const char *job, guint index, guint64 attempt_id)
{
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    if (t->index == index && t->attempt_id == attempt_id && g_str_equal (t->job, job))
      return t;
  }
  return NULL;
}

/* Given where the job's other tasks are; this one counts already. */
static void
check_place (const Machine *m, const User *u)
{
  GHashTableIter it;
  gpointer value;
  guint here = 0, all = 0;
  if (!u || u->placing == SIM_ANYWHERE)
    return;
  g_hash_table_iter_init (&it, fakes.running_tasks);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Task *t = value;
    if (!g_str_equal (t->job, u->id))
      continue;
    all++;
    here += g_str_equal (((Machine *) t->on)->zone, m->zone);
  }
  if (u->placing == SIM_ONE_ZONE ? here != all : here > (u->tasks + 1) / 2)
    record_violation ("wrong_place: %s has %u of %u in %s", u->id, here, all, m->zone);
}

/* What the rules forbid at a start: a second copy, a limit passed, a cancelled job. */
static void
check_start (Machine *m, Task *t)
{
  User *u = g_hash_table_lookup (fakes.jobs, t->job);
  GHashTableIter it;
  gpointer value;
  double used = 0;

  char *key = g_strdup_printf ("%s/%u", t->job, t->index);
  const Task *twin = g_hash_table_lookup (fakes.running_tasks, key);

  fakes.tasks_started++;
  if (u && !u->began_at)
    u->began_at = fakes.now;
  if (twin)
    record_violation ("ran_twice: %s on %s and %s", key, ((Machine *) twin->on)->id, m->id);
  t->on = m;
  if (!m->began)
    m->began = fakes.now;
  g_hash_table_replace (fakes.running_tasks, key, t);
  g_hash_table_iter_init (&it, fakes.running_tasks);
  while (fakes.options.team_limit > 0 && g_hash_table_iter_next (&it, NULL, &value)) {
    User *v = g_hash_table_lookup (fakes.jobs, ((Task *) value)->job);
    if (v && u && g_str_equal (v->team, u->team))
      used += v->cpus;
  }
  if (u && fakes.options.team_limit > 0 && used > fakes.options.team_limit + 1e-6)
    record_violation ("quota: %s uses %g", u->team, used);
  check_place (m, u);
  /* Stricter than the rule: none may start once its user was told. */
  if (u && u->cancelled_at)
    record_violation ("started_cancelled: %s/%u starts on %s", t->job, t->index, m->id);
}

static json_t *
report (Machine *m)
{
  json_t *a = json_array ();
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    json_t *o = json_pack ("{so sI ss}", "Shift", json_sprintf ("%s/%u", t->job, t->index),
                           "Launch", (json_int_t) t->attempt_id, "Bearing", t->state);
    if (t->why)
      json_object_set_new (o, "Wreck", json_string (t->why));
    json_array_append_new (a, o);
  }
  return json_pack ("{ss ss ss ss sb sI sI sI sn so}", "Berth", m->id, "Endpoint", m->address,
                    "Hull", "t8", "Harbor", m->zone, "Driftwood", 1, "Watch",
                    (json_int_t) m->session, "Log", (json_int_t) ++m->seq, "Helm",
                    (json_int_t) m->token, "RecallS", "Shifts", a);
}

static void
beat_soon (Machine *m)
{
  m->next_beat = MIN (m->next_beat, MAX (fakes.now, m->last_beat + 500000));
}

static void
start_if_due (Machine *m, Task *t)
{
  const User *u = g_hash_table_lookup (fakes.jobs, t->job);
  if (!g_str_equal (t->state, "pulling") || fakes.now < t->starts)
    return;
  t->state = "running";
  double run_s = u->run_s * g_rand_double_range (fakes.rng, 1 - fakes.options.run_time_jitter,
                                                 1 + fakes.options.run_time_jitter + 1e-9);
  t->fails = m->sick || u->mistaken;
  t->ends = fakes.now + (gint64) ((t->fails ? 0.2 : run_s * (m->slow > 0 ? m->slow : 1)) * 1e6);
  check_start (m, t);
  beat_soon (m);
}

static void
execute (Machine *m, json_t *orders)
{
  json_t *o;
  size_t i;
  json_array_foreach (orders, i, o)
  {
    const char *word = json_string_value (json_object_get (o, "Order"));
    const char *shift = json_string_value (json_object_get (o, "Shift"));
    const char *slash = strrchr (shift, '/');
    g_autofree char *job = g_strndup (shift, slash - shift);
    guint index = (guint) atoi (slash + 1);
    guint64 attempt_id = (guint64) json_integer_value (json_object_get (o, "Launch"));
    Task *t = task_find (m, job, index, attempt_id);
    User *u = g_hash_table_lookup (fakes.jobs, job);
    if (g_str_equal (word, "run") && !t) {
      double used = 0;
      gboolean here = FALSE;
      for (guint k = 0; k < m->tasks->len; k++) {
        Task *x = m->tasks->pdata[k];
        User *v = g_hash_table_lookup (fakes.jobs, x->job);
        if (g_str_equal (x->state, "exited"))
          continue;
        used += v ? v->cpus : 0;
        here |= x->index == index && g_str_equal (x->job, job);
      }
      t = g_new0 (Task, 1);
      *t = (Task){ g_strdup (job), index, attempt_id, "pulling", NULL, 0, 0, FALSE, NULL };
      g_ptr_array_add (m->tasks, t);
      if (!u || here || used + u->cpus > fakes.options.machine_cpus + 1e-6) {
        t->state = "exited";
        t->why = !u ? "unknown" : here ? "in_use" : "no_room";
      } else {
        t->starts = fakes.now + (gint64) (fakes.options.image_pull_s * 1e6);
        start_if_due (m, t);
      }
    } else if (g_str_equal (word, "kill") && t && !g_str_equal (t->state, "exited")) {
      t->state = "exited";
      t->why = "stopped";
      task_off (t);
    } else if (g_str_equal (word, "clear") && t && g_str_equal (t->state, "exited"))
      g_ptr_array_remove (m->tasks, t);
    else
      continue;
    beat_soon (m);
  }
}

static void
see_token (Machine *m, guint64 token)
{
  if (token > m->token) {
    m->token = token;
    beat_soon (m);
  }
}

typedef struct {
  Machine *m;
  guint64 session;
} Beat;

static void
beat_done (guint status, json_t *body, gpointer data)
{
  Beat *b = data;
  Machine *m = b->m;
  guint64 token = (guint64) json_integer_value (json_object_get (body, "Helm"));

  m->busy = FALSE;
  if (m->hangs) { /* given up by the time it goes on */
    g_free (b);
    return;
  }
  if (status == 200 && b->session == m->session) {
    if (token >= m->token && token) {
      m->last_ok = m->sent;
      see_token (m, token);
      execute (m, json_object_get (body, "Orders"));
    }
  } else if (status != 200) {
    const char *to = json_string_value (json_object_get (body, "Harbormaster"));
    m->next_beat = fakes.now + 1000000;
    if (status == 421 && to && atoi (to + strlen ("berth-")) != (int) m->node) {
      m->node = (guint) atoi (to + strlen ("berth-"));
      m->next_beat = fakes.now + 100000;
    } else
      m->node = (m->node + 1) % fakes.options.nodes;
  }
  g_free (b);
}

/* For sim_replay_old_reports. */
#define KEEP_US 10000000

static void
keep_report (Machine *m, json_t *report)
{
  if (m->kept && fakes.now - m->kept_at < KEEP_US)
    return;
  json_decref (m->kept_before);
  m->kept_before = m->kept;
  m->kept = json_deep_copy (report);
  m->kept_at = fakes.now;
}

static void
send_old_report (Machine *m)
{
  if (!m->kept_before)
    return;
  for (guint i = 0; i < fakes.options.nodes; i++) {
    g_autofree char *address = sim_node_address (i, SIM_CLIENT_PORT);
    fakes_call (m->id, "POST", address, "/agent/beat", json_deep_copy (m->kept_before), 4,
                copy_answered, NULL);
  }
}

void
sim_replay_old_reports (void)
{
  g_autoptr (GList) ids = g_list_sort (g_hash_table_get_keys (fakes.machines), by_text);
  for (GList *l = ids; l; l = l->next)
    send_old_report (g_hash_table_lookup (fakes.machines, l->data));
}

static void
send_report (Machine *m)
{
  g_autofree char *address = sim_node_address (m->node, SIM_CLIENT_PORT);
  Beat *b = g_new (Beat, 1);
  *b = (Beat){ m, m->session };
  m->busy = TRUE;
  m->sent = m->last_beat = fakes.now;
  m->next_beat = fakes.now + (gint64) (fakes.options.report_s *
                                       g_rand_double_range (fakes.rng, 0.75, 1.25) * 1e6);
  json_t *r = report (m);
  keep_report (m, r);
  if (g_rand_double (fakes.rng) < fakes.options.duplicate_reports)
    fakes_send_duplicate_later (m->id, "POST", address, "/agent/beat", r);
  fakes_call_delayed (m->id, "POST", address, "/agent/beat", r, 4, m->report_late_s, beat_done, b);
  m->report_late_s = 0;
}

static gboolean
machine_step (gpointer data)
{
  Machine *m = data;
  if (m->dead)
    return FALSE;
  schedule_after (fakes.options.machine_poll_s > 0 ? fakes.options.machine_poll_s : 0.05,
                  machine_step, m);
  if (fakes.now < m->up_at)
    return FALSE;
  if (!m->up) {
    m->up = TRUE;
    m->session = 1;
    m->last_ok = m->next_beat = fakes.now;
  }
  if (fakes.now - m->last_ok > (gint64) (fakes.options.lease_s * 1e6)) {
    g_ptr_array_set_size (m->tasks, 0);
    m->session++;
    m->last_ok = fakes.now;
    beat_soon (m);
  }
  /* Its lease runs on: it may go on only within it. */
  if (m->hangs)
    return FALSE;
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    User *u = g_hash_table_lookup (fakes.jobs, t->job);
    start_if_due (m, t);
    if (!g_str_equal (t->state, "running"))
      continue;
    if (u && u->cancelled_at &&
        fakes.now - u->cancelled_at > (gint64) (fakes.options.cancel_s * 1e6)) {
      record_violation ("ran_cancelled: %s/%u still on %s", t->job, t->index, m->id);
      u->cancelled_at = G_MAXINT64 / 2; /* once */
    }
    if (fakes.now < t->ends)
      continue;
    t->state = "exited";
    t->why = t->fails ? "error" : "done";
    task_off (t);
    if (!t->fails && u && !u->completed[t->index]) {
      u->completed[t->index] = 1;
      u->n_completed++;
      u->complete_at = fakes.now;
    }
    beat_soon (m);
  }
  if (m->busy || fakes.now < m->next_beat)
    return FALSE;
  if (m->mute) {
    m->node = (m->node + 1) % fakes.options.nodes;
    m->next_beat = fakes.now + 1000000;
  } else
    send_report (m);
  return FALSE;
}

static void machine_answer (Call *c);

static gboolean
machine_asked (gpointer call)
{
  machine_answer (call);
  return FALSE;
}

/* 409: nothing was done. */
static guint
carry_out (Machine *m, Call *c)
{
  guint64 token = (guint64) json_integer_value (json_object_get (c->body, "Helm"));
  guint64 session = (guint64) json_integer_value (json_object_get (c->body, "Watch"));
  if (token < m->token || session != m->session)
    return 409;
  see_token (m, token);
  execute (m, json_object_get (c->body, "Orders"));
  return 200;
}

static gboolean
command_late (gpointer call)
{
  Call *c = call;
  Machine *m = g_hash_table_lookup (fakes.machines, c->to);
  if (m && !m->dead)
    carry_out (m, c);
  return FALSE;
}

static void
machine_answer (Call *c)
{
  Machine *m = g_hash_table_lookup (fakes.machines, c->to);
  if (!m || m->dead || !m->up)
    return;
  if (m->hangs) { /* the asker has given up by then, the machine goes by token and session */
    schedule_after (0.05, machine_asked, c);
    return;
  }
  if (g_str_equal (c->path, "/show")) {
    fakes_respond (c, 200, report (m));
    return;
  }
  if (g_rand_double (fakes.rng) < fakes.delayed_command_share) {
    schedule_after (g_rand_double_range (fakes.rng, 2, 16), command_late, c);
    return;
  }
  guint status = carry_out (m, c);
  fakes_respond (c, status, report (m));
}

void
sim_delay_commands (double share)
{
  fakes.delayed_command_share = share;
}

static void
machine_new (const char *zone)
{
  Machine *m = g_new0 (Machine, 1);
  m->zone = g_strdup (zone);
  m->id = g_strdup_printf ("host-%06u", fakes.next_machine);
  m->address = sim_machine_address (fakes.next_machine++);
  m->rented = fakes.now;
  double least = fakes.options.boot_max_s > 0 ? fakes.options.boot_min_s : 6;
  double most = fakes.options.boot_max_s > 0 ? fakes.options.boot_max_s : 15;
  m->up_at =
      fakes.now + g_rand_int_range (fakes.rng, (gint32) (least * 1e6), (gint32) (most * 1e6));
  if (fakes.fail_boots)
    m->up_at = G_MAXINT64;
  m->tasks = g_ptr_array_new_with_free_func (task_free);
  m->node = (guint) g_rand_int_range (fakes.rng, 0, (gint32) fakes.options.nodes);
  g_hash_table_insert (fakes.machines, m->id, m);
  fakes.machines_alive++;
  machine_step (m);
}

void
sim_machine_kill (const char *id)
{
  Machine *m = g_hash_table_lookup (fakes.machines, id);
  fakes.machines_alive -= !m->dead;
  m->dead = TRUE;
  g_ptr_array_set_size (m->tasks, 0);
}

void
sim_machine_fail_tasks (const char *id, gboolean sick)
{
  ((Machine *) g_hash_table_lookup (fakes.machines, id))->sick = sick;
}

void
sim_machine_slow_down (const char *id, double factor)
{
  ((Machine *) g_hash_table_lookup (fakes.machines, id))->slow = factor;
}

void
sim_machine_pause (const char *id, gboolean on)
{
  ((Machine *) g_hash_table_lookup (fakes.machines, id))->hangs = on;
}

void
sim_machine_stop_reports (const char *id, gboolean on)
{
  ((Machine *) g_hash_table_lookup (fakes.machines, id))->mute = on;
}

void
sim_delay_next_report (const char *id, double seconds)
{
  ((Machine *) g_hash_table_lookup (fakes.machines, id))->report_late_s = seconds;
}

double
sim_lease_renewed_at (const char *id)
{
  const Machine *m = g_hash_table_lookup (fakes.machines, id);
  return (double) m->last_ok / 1e6;
}

gboolean
sim_report_in_flight (const char *id)
{
  return ((Machine *) g_hash_table_lookup (fakes.machines, id))->busy;
}

void
sim_cloud_outage (gboolean on)
{
  fakes.cloud_outage = on;
}

guint
sim_refused_deletions (void)
{
  return fakes.refused_deletions;
}

void
sim_fail_boots (gboolean on)
{
  fakes.fail_boots = on;
}

double
sim_longest_boot (void)
{
  GHashTableIter it;
  gpointer value;
  gint64 most = 0;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Machine *m = value;
    if (!m->up && !m->dead)
      most = MAX (most, fakes.now - m->rented);
  }
  return most / 1e6;
}

char **
sim_machine_names (const char *zone)
{
  g_autoptr (GList) ids = g_list_sort (g_hash_table_get_keys (fakes.machines), by_text);
  GPtrArray *names = g_ptr_array_new ();
  for (GList *l = ids; l; l = l->next) {
    const Machine *m = g_hash_table_lookup (fakes.machines, l->data);
    if (m->up && !m->dead && (!zone || g_str_equal (m->zone, zone)))
      g_ptr_array_add (names, g_strdup (m->id));
  }
  g_ptr_array_add (names, NULL);
  return (char **) g_ptr_array_free (names, FALSE);
}

const char *
sim_machine_of (const char *job)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Machine *m = value;
    for (guint i = 0; i < m->tasks->len; i++)
      if (g_str_equal (((Task *) m->tasks->pdata[i])->job, job))
        return m->id;
  }
  return NULL;
}

double
sim_longest_wait_for_task (void)
{
  GHashTableIter it;
  gpointer value;
  double most = 0;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Machine *m = value;
    if (m->up && !m->dead)
      most = MAX (most, ((m->began ? m->began : fakes.now) - m->up_at) / 1e6);
  }
  return most;
}

static const char *
by_tasks (gboolean most)
{
  GHashTableIter it;
  gpointer value;
  Machine *best = NULL;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Machine *m = value;
    if (m->dead || !m->up || !m->tasks->len)
      continue;
    if (!best || (most ? m->tasks->len > best->tasks->len : m->tasks->len < best->tasks->len))
      best = m;
  }
  return best ? best->id : NULL;
}

void
fakes_count_lost_run (const char *machine)
{
  Machine *m = g_hash_table_lookup (fakes.machines, machine);
  if (m)
    m->unheard++;
}

guint
sim_runs_lost (const char *id)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += !id || g_str_equal (((Machine *) value)->id, id) ? ((Machine *) value)->unheard : 0;
  return n;
}

const char *
sim_busiest_machine (void)
{
  return by_tasks (TRUE);
}

const char *
sim_least_busy_machine (void)
{
  return by_tasks (FALSE);
}

gboolean
sim_machine_alive (const char *id)
{
  const Machine *m = g_hash_table_lookup (fakes.machines, id);
  return m && !m->dead;
}

guint
sim_machine_count (void)
{
  return fakes.machines_alive;
}

guint
sim_tasks_running (const char *job)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Machine *m = value;
    for (guint i = 0; i < m->tasks->len; i++) {
      Task *t = m->tasks->pdata[i];
      n += (!job || g_str_equal (t->job, job)) && g_str_equal (t->state, "running");
    }
  }
  return n;
}

/* --- the cloud ---------------------------------------------------------------------------------
 */
static void
cloud_answer (Call *c)
{
  json_t *o, *a = json_array ();
  size_t i;

  if (g_str_equal (c->path, "/machine_types")) {
    json_t *zones = json_array ();
    for (guint z = 0; z < MAX (1, fakes.options.zones); z++)
      json_array_append_new (zones, json_sprintf ("z%u", z));
    fakes_respond (c, 200,
                   json_pack ("{s[{ss sf sf sf sf sf sf sf sf so}]}", "Hulls", "Name", "t8",
                              "Cores", (double) fakes.options.machine_cpus, "Accelerators", 0.0,
                              "MemGb", 64.0, "CacheGb", 50.0, "PullGbPerS", 1.0, "Rate", 1.0,
                              "MarketPrice", fakes.options.spot_price, "ReadyS", 10.0, "Harbors",
                              zones));
  } else if (g_str_equal (c->path, "/rentals/delete")) {
    json_array_foreach (json_object_get (c->body, "Berths"), i, o)
    {
      Machine *m = g_hash_table_lookup (fakes.machines, json_string_value (o));
      if (m && !m->dead)
        sim_machine_kill (m->id);
    }
    fakes_respond (c, 200, json_object ());
  } else if (g_str_equal (c->path, "/rentals")) {
    const char *charter = json_string_value (json_object_get (c->body, "Charter"));
    json_t *known = g_hash_table_lookup (fakes.rentals, charter);
    guint n = (guint) json_integer_value (json_object_get (c->body, "Number"));
    if (!known) {
      known = json_array ();
      for (guint k = 0; k < n && sim_machine_count () < fakes.options.max_machines; k++) {
        json_array_append_new (known, json_sprintf ("host-%06u", fakes.next_machine));
        machine_new (json_string_value (json_object_get (c->body, "Harbor")));
      }
      if (json_array_size (known) == 0) {
        fakes_respond (c, 503, json_pack ("{ss}", "error", "no capacity"));
        return;
      }
      g_hash_table_insert (fakes.rentals, g_strdup (charter), known);
    }
    fakes_respond (c, 200, json_pack ("{sO}", "Berths", known));
  } else {
    g_autoptr (GList) ids = g_list_sort (g_hash_table_get_keys (fakes.machines), by_text);
    for (GList *l = ids; l; l = l->next) {
      Machine *m = g_hash_table_lookup (fakes.machines, l->data);
      /* Two seconds old: new ones are missing, and dead ones still there only for that long. */
      if (!m->dead && fakes.now - m->rented > 2000000)
        json_array_append_new (
            a, json_pack ("{ss ss ss ss sb ss sf}", "Id", m->id, "Endpoint", m->address, "Hull",
                          "t8", "Harbor", m->zone, "Driftwood", 1, "Bearing",
                          m->up ? "running" : "starting", "HeldS", (fakes.now - m->rented) / 1e6));
    }
    fakes_respond (c, 200, json_pack ("{sO sb}", "Berths", a, "More", 0));
  }
  json_decref (a);
}

void
fakes_handle_request (Call *c)
{
  if (g_str_equal (c->to, "state"))
    state_answer (c);
  else if (g_str_equal (c->to, "cloud") && fakes.cloud_outage) {
    if (g_str_equal (c->path, "/rentals/delete"))
      fakes.refused_deletions += (guint) json_array_size (json_object_get (c->body, "Berths"));
    fakes_respond (c, 503, json_pack ("{ss}", "error", "trouble"));
  } else if (g_str_equal (c->to, "cloud"))
    cloud_answer (c);
  else if (g_str_has_prefix (c->to, "host-"))
    machine_answer (c);
}

/* --- users --------------------------------------------------------------------------------------
 */
static gboolean user_step (gpointer data);

/* Any node that lives, as the balancer would choose. */
static char *
some_node (void)
{
  guint n = (guint) g_rand_int_range (fakes.rng, 0, (gint32) fakes.options.nodes);
  for (guint i = 0; i < fakes.options.nodes && !sim_node_alive (n); i++)
    n = (n + 1) % fakes.options.nodes;
  return sim_node_address (n, SIM_CLIENT_PORT);
}

/* No question about it answered for 75 s, although there are no troubles. */
static void
check_known (User *u)
{
  if (!fakes.faults_over_at || !u->accepted ||
      fakes.now - MAX (u->answered_at, fakes.faults_over_at) <= 75000000)
    return;
  record_violation ("forgotten: no answer about %s for 75 s", u->id);
  u->answered_at = fakes.now;
}

static gboolean
over (const User *u)
{
  return g_str_equal (u->told, "done") || g_str_equal (u->told, "cancelled");
}

/* Tasks of a job that are fetching or running, in a zone or (zone NULL) on a machine. */
static guint
tasks_in (const User *u, const char *zone, const Machine *only)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Machine *m = value;
    if (!m || (zone ? !g_str_equal (m->zone, zone) : m != only))
      continue;
    for (guint i = 0; i < m->tasks->len; i++) {
      const Task *t = m->tasks->pdata[i];
      n += g_str_equal (t->job, u->id) && !g_str_equal (t->state, "exited");
    }
  }
  return n;
}

/* Of a team, or on a machine: what is fetching or running. */
static double
cpus_in_use (const Machine *m, const char *team)
{
  double used = 0;
  for (guint i = 0; i < m->tasks->len; i++) {
    const Task *t = m->tasks->pdata[i];
    const User *u = g_hash_table_lookup (fakes.jobs, t->job);
    if (u && !g_str_equal (t->state, "exited") && (!team || g_str_equal (u->team, team)))
      used += u->cpus;
  }
  return used;
}

/* Whether a task of it could start now: not all are done or on machines, its team is under its
 * limit, and a machine that fits has room. */
static gboolean
could_start (const User *u)
{
  GHashTableIter it;
  gpointer value;
  double team = 0;
  guint on = 0, here, most = (u->tasks + 1) / 2;
  gboolean room = FALSE;

  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    team += cpus_in_use (value, u->team);
    on += tasks_in (u, NULL, value);
  }
  if (u->n_completed + on >= u->tasks ||
      (fakes.options.team_limit > 0 && team + u->cpus > fakes.options.team_limit + 1e-6))
    return FALSE;
  g_hash_table_iter_init (&it, fakes.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Machine *m = value;
    here = tasks_in (u, m->zone, NULL);
    room |= m->up && !m->dead &&
            cpus_in_use (m, NULL) + u->cpus <= fakes.options.machine_cpus + 1e-6 &&
            (u->placing != SIM_ONE_ZONE || here == on) && (u->placing != SIM_SPREAD || here < most);
  }
  return room;
}

/* The largest jobs have to begin within four minutes, and so does every other here. */
static void
check_begun (User *u)
{
  if (u->began_at || !u->accepted || u->aborting || u->late ||
      fakes.now - MAX (u->submitted_at, fakes.faults_over_at) <= 240000000)
    return;
  record_violation ("not_begun: nothing of %s for 240 s", u->id);
  u->late = TRUE;
}

static gboolean
check_waiting (gpointer data)
{
  GHashTableIter it;
  gpointer value;
  schedule_after (1, check_waiting, NULL);
  g_hash_table_iter_init (&it, fakes.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    User *u = value;
    check_begun (u);
    if (!u->accepted || u->aborting || over (u) || !could_start (u)) {
      u->room_at = 0;
      continue;
    }
    if (!u->room_at)
      u->room_at = fakes.now;
    if (fakes.now - u->room_at > 90000000) {
      record_violation ("waits: %s for 90 s beside room", u->id);
      u->room_at = fakes.now;
    }
  }
  return FALSE;
}

void
sim_faults_over (void)
{
  liveness_faults_over ();
  if (!fakes.faults_over_at)
    check_waiting (NULL);
  fakes.faults_over_at = fakes.now;
}

double
sim_time_to_first_task (const char *id)
{
  const User *u = g_hash_table_lookup (fakes.jobs, id);
  return u->began_at ? (u->began_at - u->submitted_at) / 1e6 : -1;
}

static void look_everywhere (User *u);

static void
tell (User *u, const char *word, gint64 asked_at)
{
  gboolean final = over (u);
  u->answered_at = fakes.now;
  if (final && asked_at < u->over_at)
    return; /* asked before: the two answers overtook each other */
  if (final && !g_str_equal (u->told, word))
    record_violation ("went_back: %s was %s, is %s", u->id, u->told, word);
  if (g_str_equal (word, "done") && u->n_completed < u->tasks)
    record_violation ("not_done: %s with %u of %u", u->id, u->n_completed, u->tasks);
  if (g_str_equal (word, "cancelled") && !u->aborting)
    record_violation ("went_back: %s was not cancelled by its user", u->id);
  if (g_str_equal (word, "cancelled") && !u->cancelled_at)
    u->cancelled_at = fakes.now;
  g_free (u->told);
  u->told = g_strdup (word);
  if (!final && over (u)) {
    u->over_at = fakes.now;
    look_everywhere (u);
  }
}

/* One of the questions that users ask at all nodes right after news. */
typedef struct {
  User *user;
  guint node;
  gboolean submits; /* it repeats the submission */
  gint64 asked_at;
} Look;

static void
looked (guint status, json_t *body, gpointer data)
{
  g_autofree Look *look = data;
  User *u = look->user;
  const char *word = json_string_value (json_object_get (body, "Bearing"));
  if (status == 400 || status == 404 || status == 422)
    record_violation ("forgotten: %s gets %u at n%u", u->id, status, look->node);
  else if (status == 200 && word)
    tell (u, word, look->asked_at);
}

static gboolean
look (gpointer data)
{
  Look *l = data;
  g_autofree char *address = sim_node_address (l->node, SIM_CLIENT_PORT);
  g_autofree char *poll = g_strdup_printf ("/api/jobs/%s", l->user->id);
  l->asked_at = fakes.now;
  if (l->submits)
    fakes_call ("user", "POST", address, "/api/jobs", json_incref (l->user->body), 5, looked, l);
  else
    fakes_call ("user", "GET", address, poll, NULL, 2, looked, l);
  return FALSE;
}

static void
look_everywhere (User *u)
{
  for (guint i = 0; fakes.options.poll_after_change && i < 2 * fakes.options.nodes; i++) {
    Look *l = g_new (Look, 1);
    *l = (Look){ u, i / 2, i % 2, 0 };
    schedule_after (g_rand_double_range (fakes.rng, 0, 0.02), look, l);
  }
}

static void
accept (User *u)
{
  gboolean first = !u->accepted;
  u->accepted = TRUE;
  u->answered_at = fakes.now;
  if (!first)
    return;
  u->accepted_at = fakes.now;
  look_everywhere (u);
}

/* Its user wants it cancelled, and was not yet told that it is. */
static gboolean
cancelling (const User *u)
{
  return u->aborting && !over (u);
}

/* A question of a user on its way. Each has its own time: several may be on their way at once, and
 * an answer that was overtaken by a newer question's is none that goes back. */
typedef struct {
  User *user;
  gint64 asked_at;
} Question;

static Question *
question_new (User *u)
{
  Question *question = g_new (Question, 1);
  *question = (Question){ u, fakes.now };
  return question;
}

static void
polled (guint status, json_t *body, gpointer data)
{
  g_autofree Question *question = data;
  User *u = question->user;
  const char *word = json_string_value (json_object_get (body, "Bearing"));
  if (status == 200 && word)
    tell (u, word, question->asked_at);
  else if (status == 404)
    record_violation ("forgotten: %s gets 404", u->id);
  schedule_after (cancelling (u) ? 1 : 5, user_step, u);
}

static void
submitted (guint status, json_t *body, gpointer data)
{
  g_autofree Question *question = data;
  User *u = question->user;
  const char *word = json_string_value (json_object_get (body, "Bearing"));
  if (status == 200 || status == 201) {
    accept (u);
    if (word)
      tell (u, word, question->asked_at);
  } else if (u->accepted && (status == 400 || status == 422))
    record_violation ("forgotten: %s is refused", u->id);
  schedule_after (u->accepted && !cancelling (u) ? 5 : 1, user_step, u);
}

static void
note_answer (const Question *question, guint status, json_t *body)
{
  const char *word = json_string_value (json_object_get (body, "Bearing"));
  if (status == 200 && word)
    tell (question->user, word, question->asked_at);
}

static void
answered (guint status, json_t *body, gpointer data)
{
  g_autofree Question *question = data;
  note_answer (question, status, body);
}

static void
user_aborted (guint status, json_t *body, gpointer data)
{
  g_autofree Question *question = data;
  note_answer (question, status, body);
  schedule_after (1, user_step, question->user);
}

static void
ask_abort (User *u, const char *node, KrHttpResponseFunc reply)
{
  g_autofree char *path = g_strdup_printf ("/api/jobs/%s/abort", u->id);
  fakes_call ("user", "POST", node, path, NULL, 5, reply, question_new (u));
}

static gboolean
user_step (gpointer data)
{
  User *u = data;
  g_autofree char *node = some_node ();
  g_autofree char *poll = g_strdup_printf ("/api/jobs/%s", u->id);
  gint turn = g_rand_int_range (fakes.rng, 0, 3);
  check_known (u);
  if (u->accepted && cancelling (u) && turn == 0)
    ask_abort (u, node, user_aborted);
  else if (!u->accepted || (cancelling (u) && turn == 1))
    fakes_call ("user", "POST", node, "/api/jobs", json_incref (u->body), 5, submitted,
                question_new (u));
  else
    fakes_call ("user", "GET", node, poll, NULL, 2, polled, question_new (u));
  return FALSE;
}

static void
submit (const char *id, const char *team, const char *rank, guint tasks, double cpus, double run_s,
        double deadline_s, SimPlacement placing)
{
  User *u = g_new0 (User, 1);
  u->id = g_strdup (id);
  u->team = g_strdup (team);
  u->tasks = tasks;
  u->cpus = cpus;
  u->run_s = run_s;
  u->placing = placing;
  u->told = g_strdup ("");
  u->submitted_at = fakes.now;
  u->completed = g_malloc0 (tasks);
  u->body = json_pack ("{ss ss ss ss ss sI sf sf sf ss sf sn sn sb sb sb sf sf sf sf}", "Id", id,
                       "Lane", "l", "Crew", team, "Form", "array", "Rank", rank, "Shifts",
                       (json_int_t) tasks, "Cores", cpus, "Accelerators", 0.0, "MemGb", 1.0,
                       "Cargo", "img", "PullGb", 0.0, "Hulls", "Harbor", "OneZone",
                       placing == SIM_ONE_ZONE, "Apart", placing == SIM_SPREAD, "Driftwood", 1,
                       "SailS", run_s, "MooringS", 0.0, "StowS", 0.0, "TideS", deadline_s);
  g_hash_table_insert (fakes.jobs, u->id, u);
  user_step (u);
}

void
sim_submit (const char *id, const char *team, const char *rank, guint tasks, double cpus,
            double run_s, double deadline_s)
{
  submit (id, team, rank, tasks, cpus, run_s, deadline_s, SIM_ANYWHERE);
}

void
sim_submit_placed (const char *id, const char *team, guint tasks, double cpus, double run_s,
                   SimPlacement placing)
{
  submit (id, team, "normal", tasks, cpus, run_s, 600, placing);
}

void
sim_poll_at (const char *id, guint node)
{
  User *u = g_hash_table_lookup (fakes.jobs, id);
  g_autofree char *address = sim_node_address (node, SIM_CLIENT_PORT);
  g_autofree char *path = g_strdup_printf ("/api/jobs/%s", id);
  fakes_call ("user", "GET", address, path, NULL, 5, answered, question_new (u));
}

void
sim_job_fail_tasks (const char *id, gboolean on)
{
  ((User *) g_hash_table_lookup (fakes.jobs, id))->mistaken = on;
}

static void
start_abort (const char *id, const char *node)
{
  User *u = g_hash_table_lookup (fakes.jobs, id);
  u->aborting = TRUE;
  ask_abort (u, node, answered); /* now; user_step goes on */
}

void
sim_cancel (const char *id)
{
  g_autofree char *node = some_node ();
  start_abort (id, node);
}

void
sim_cancel_at (const char *id, guint node)
{
  g_autofree char *address = sim_node_address (node, SIM_CLIENT_PORT);
  start_abort (id, address);
}

const char *
sim_reported_state (const char *id)
{
  return ((User *) g_hash_table_lookup (fakes.jobs, id))->told;
}

gboolean
sim_all_jobs_finished (void)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, fakes.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    if (!over (value))
      return FALSE;
  }
  return TRUE;
}

typedef struct {
  gboolean over;
  guint status;
} Asked;

static void
asked (guint status, json_t *body, gpointer data)
{
  *(Asked *) data = (Asked){ TRUE, status };
}

static guint
request (guint node, guint port, const char *method, const char *path, const char *body)
{
  g_autofree char *address = sim_node_address (node, port);
  Asked a = { FALSE, 0 };
  fakes_call ("user", method, address, path, body ? json_loads (body, 0, NULL) : NULL, 5, asked,
              &a);
  while (!a.over)
    sim_run (0.01);
  return a.status;
}

static void
count_answer (guint status, json_t *body, gpointer data)
{
  fakes.response_counts[status]++;
}

void
sim_request_async (guint node, const char *method, const char *path, const char *body)
{
  g_autofree char *address = sim_node_address (node, SIM_CLIENT_PORT);
  fakes_call ("user", method, address, path, body ? json_loads (body, 0, NULL) : NULL, 5,
              count_answer, NULL);
}

guint
sim_response_count (guint status)
{
  return fakes.response_counts[status];
}

guint
sim_request (guint node, const char *method, const char *path, const char *body)
{
  return request (node, SIM_CLIENT_PORT, method, path, body);
}

guint
sim_peer_request (guint node, const char *method, const char *path, const char *body)
{
  return request (node, SIM_PEER_PORT, method, path, body);
}
static json_t *
address_json (char *address)
{
  json_t *text = json_string (address);
  g_free (address);
  return text;
}

json_t *
fakes_node_settings (guint node)
{
  json_t *others = json_array (), *teams = json_array ();
  for (guint k = 0; k < fakes.options.nodes; k++)
    if (k != node)
      json_array_append_new (
          others, json_pack ("{so ss so}", "node_name", json_sprintf ("berth-%u", k), "zone", "z",
                             "peer_addr", address_json (sim_peer_address (node, k))));
  for (guint k = 0; k < MAX (fakes.options.teams, fakes.options.nodes); k++)
    json_array_append_new (teams, json_pack ("{so sf}", "name", json_sprintf ("team%u", k),
                                             "cpus_max", fakes.options.team_limit));
  return json_pack (
      "{so ss so so so s{so so} s{si sf so s{sf sf sf} s{sf sf sf si} s{sf sf} s{sf sf si}}}",
      "node_name", json_sprintf ("berth-%u", node), "zone", "z", "client_listen",
      address_json (sim_node_address (node, SIM_CLIENT_PORT)), "internal_addr",
      address_json (sim_node_address (node, SIM_PEER_PORT)), "others", others, "external", "cloud",
      address_json (sim_cloud_address (node)), "state", address_json (sim_state_address (node)),
      "facts", "size", (int) fakes.options.nodes, "clock_error_ms", 5.0, "teams", teams, "workers",
      "report_s", fakes.options.report_s, "lease_s", fakes.options.lease_s, "cancel_s",
      fakes.options.cancel_s, "state", "rps", 150.0, "write_rps", fakes.options.write_rps,
      "value_kb", fakes.options.value_kb, "txn_ops", 12, "cloud", "rps", 3.0, "list_lag_s", 2.0,
      "resources", "core_share", 0.1, "ram_mb", 60.0, "sockets", 900);
}

/* --- life ------------------------------------------------------------------------------------ */
void
fakes_start (guint32 seed, const SimOptions *options)
{
  memset (&fakes, 0, sizeof fakes);
  fakes.options = *options;
  fakes.rng = g_rand_new_with_seed (seed);
  g_random_set_seed (seed);
  fakes.running_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fakes.store = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  fakes.leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fakes.watches = g_ptr_array_new ();
  fakes.changes = g_array_new (FALSE, FALSE, sizeof (Change));
  fakes.machines = g_hash_table_new (g_str_hash, g_str_equal);
  fakes.rentals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fakes.jobs = g_hash_table_new (g_str_hash, g_str_equal);
  fakes.violations = g_string_new (NULL);
  fakes.links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fakes.held_messages = g_ptr_array_new ();
  schedule_after (0.05, expire_leases, NULL);
}

void
fakes_stop (void)
{
  g_string_free (fakes.violations, TRUE);
}

const char *
sim_violations (void)
{
  return fakes.violations->str;
}

guint
sim_tasks_started (void)
{
  return fakes.tasks_started;
}
