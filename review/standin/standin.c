#include "standin.h"
#include <arpa/inet.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONNS 400
#define IDLE_S 120
#define READY_WITHIN_S 20
#define LONGEST_S 115 /* a run ends after this time, whatever the scenario says */

Site site;
GPtrArray *machines, *users;
guint ended_by_itself;
double limit_value_kb, limit_write_rps;
guint limit_txn_ops;

static FILE *record_file;
static char *dir;
static char **program; /* the deploy file's run command */
static gint64 start_us;
static GMainLoop *loop;
static gboolean trouble, ending, started;

double
now_s (void)
{
  return (double) (g_get_monotonic_time () - start_us) / 1e6;
}

void
record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record_file, "%8.3f ", now_s ());
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  va_end (args);
}

typedef struct {
  GSourceFunc func;
  gpointer data;
} Later;

static gboolean
run_later (gpointer data)
{
  g_autofree Later *later = data;
  later->func (later->data);
  return G_SOURCE_REMOVE;
}

void
after (double s, GSourceFunc func, gpointer data)
{
  Later *later = g_new (Later, 1);
  *later = (Later){ func, data };
  g_timeout_add ((guint) MAX (0, s * 1000), run_later, later);
}

/* All listen on one loopback address, different for each run, on ports below those that the kernel
 * gives to outgoing connections. */
static char *host_address;

static gboolean
is_free (guint port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((guint16) port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, host_address, &a.sin_addr);
  gboolean ok = fd >= 0 && bind (fd, (struct sockaddr *) &a, sizeof a) == 0;
  if (fd >= 0)
    close (fd);
  return ok;
}

static guint
free_port (void)
{
  static guint next = 20000;
  for (; next < 30000; next++)
    if (is_free (next))
      return next++;
  fprintf (stderr, "no free port\n");
  exit (2);
}

static char *
address_of (guint port)
{
  return g_strdup_printf ("%s:%u", host_address, port);
}

static KrHttpServer *
serve (guint port, KrHttpHandler handler, gpointer data)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *address = address_of (port);
  KrHttpServer *server = kr_http_server_new (address, CONNS, IDLE_S, NULL, handler, data, &error);
  if (!server) {
    fprintf (stderr, "%s\n", error->message);
    exit (2);
  }
  return server;
}

static char *
param (KrRequest *request, const char *name)
{
  g_auto (GStrv) parts =
      g_strsplit (kr_request_query (request) ? kr_request_query (request) : "", "&", -1);
  gsize n = strlen (name);
  for (char **p = parts; *p; p++)
    if (strncmp (*p, name, n) == 0 && (*p)[n] == '=')
      return g_uri_unescape_string (*p + n + 1, NULL);
  return NULL;
}

static gboolean
take_tokens (double *tokens, double *at, double rate, double burst_s, double cost)
{
  *tokens = MIN (rate * burst_s, *tokens + (now_s () - *at) * rate);
  *at = now_s ();
  if (*tokens < cost && !(cost > rate * burst_s && *tokens >= rate * burst_s))
    return FALSE;
  *tokens -= cost;
  return TRUE;
}

/* --- state service ------------------------------------------------------------------------ */
typedef struct {
  json_t *value;
  guint64 mark, permit;
} Entry;
typedef struct {
  char *key;
  json_t *event;
  guint64 mark;
} Change;
typedef struct {
  guint64 id;
  double ends_at, life_s;
} Lease;
typedef struct {
  KrRequest *request;
  char *prefix;
  guint64 from;
  double until;
} Watch;

static GHashTable *store, *leases; /* key -> Entry; id -> Lease */
static GArray *changes;            /* Change */
static GPtrArray *watches;         /* Watch */
static guint64 ledger, next_permit;
static double request_tokens = 1e9, request_at, write_tokens = 1e9, write_at;

static void
entry_free (gpointer p)
{
  json_decref (((Entry *) p)->value);
  g_free (p);
}

/* value: NULL removes the key. The change gets the current revision. */
static void
set_key (const char *key, json_t *value, guint64 permit)
{
  if (!value && !g_hash_table_contains (store, key))
    return;
  Change change = { g_strdup (key), NULL, ledger };
  if (value) {
    Entry *e = g_new (Entry, 1);
    *e = (Entry){ json_incref (value), ledger, permit };
    g_hash_table_replace (store, g_strdup (key), e);
    change.event =
        json_pack ("{ss sO sI}", "Put", key, "Value", value, "Mark", (json_int_t) ledger);
  } else {
    g_hash_table_remove (store, key);
    change.event = json_pack ("{ss sI}", "Remove", key, "Mark", (json_int_t) ledger);
  }
  g_array_append_val (changes, change);
}

static json_t *
events_after (const char *prefix, guint64 from)
{
  json_t *events = json_array ();
  guint first = changes->len;
  while (first > 0 && g_array_index (changes, Change, first - 1).mark > from)
    first--;
  for (guint i = first; i < changes->len; i++) {
    Change *change = &g_array_index (changes, Change, i);
    if (g_str_has_prefix (change->key, prefix))
      json_array_append (events, change->event);
  }
  return events;
}

static void
serve_watches (void)
{
  for (guint i = watches->len; i-- > 0;) {
    Watch *w = watches->pdata[i];
    json_t *events = events_after (w->prefix, w->from);
    if (json_array_size (events) == 0 && now_s () < w->until) {
      json_decref (events);
      continue;
    }
    kr_request_reply (w->request, 200,
                      json_pack ("{sI so}", "Ledger", (json_int_t) ledger, "Events", events), 0);
    g_ptr_array_remove_index_fast (watches, i);
    g_free (w->prefix);
    g_free (w);
  }
}

static gboolean
state_tick (gpointer data)
{
  GHashTableIter it;
  gpointer value;
  g_autoptr (GArray) over = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_hash_table_iter_init (&it, leases);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Lease *lease = value;
    if (now_s () > lease->ends_at)
      g_array_append_val (over, lease->id);
  }
  for (guint i = 0; i < over->len; i++) {
    guint64 id = g_array_index (over, guint64, i);
    g_hash_table_remove (leases, &id);
    g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
    gpointer key;
    g_hash_table_iter_init (&it, store);
    while (g_hash_table_iter_next (&it, &key, &value))
      if (((Entry *) value)->permit == id)
        g_ptr_array_add (keys, g_strdup (key));
    if (keys->len)
      ledger++;
    for (guint k = 0; k < keys->len; k++) {
      record ("state: lease %u ended, key %s removed", (guint) id, (char *) keys->pdata[k]);
      set_key (keys->pdata[k], NULL, 0);
    }
  }
  serve_watches ();
  return G_SOURCE_CONTINUE;
}

static gsize
json_bytes (json_t *value)
{
  return json_dumpb (value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
}

static const char *
text (json_t *o, const char *field)
{
  return json_string_value (json_object_get (o, field));
}

static guint64
number (json_t *o, const char *field)
{
  return (guint64) json_integer_value (json_object_get (o, field));
}

static char *
describe_writes (json_t *writes)
{
  GString *all = g_string_new (NULL);
  json_t *o;
  size_t i;
  json_array_foreach (writes, i, o)
      g_string_append_printf (all, "%s%s%s", i ? " " : "", text (o, "Put") ? "+" : "-",
                              text (o, "Put") ? text (o, "Put") : text (o, "Remove"));
  return g_string_free (all, FALSE);
}

static void
commit (KrRequest *request, guint node)
{
  json_t *body = kr_request_json (request), *when = json_object_get (body, "When"),
         *writes = json_object_get (body, "Writes"), *o, *failed = json_array ();
  size_t i;
  const char *refused = NULL;
  g_autofree char *what = describe_writes (writes);

  if (!json_is_object (body))
    refused = "malformed";
  if (json_array_size (writes) > limit_txn_ops || json_array_size (when) > 4 * limit_txn_ops ||
      json_bytes (body) > 65536)
    refused = "the transaction is too large";
  json_array_foreach (writes, i, o)
  {
    json_t *value = json_object_get (o, "Value");
    if (value && json_bytes (value) > limit_value_kb * 1024)
      refused = "a value is too large";
  }
  if (!refused && !take_tokens (&write_tokens, &write_at, limit_write_rps, 1,
                                (double) json_array_size (writes))) {
    json_decref (failed);
    kr_request_reply (request, 429, NULL, 0);
    return;
  }
  json_array_foreach (writes, i, o)
  {
    guint64 permit = number (o, "Permit");
    if (permit && !g_hash_table_contains (leases, &permit))
      refused = "no such lease";
  }
  if (refused) {
    json_decref (failed);
    record ("state: n%u commit [%s]: 400 %s (%zu changes)", node, what, refused,
            json_array_size (writes));
    kr_request_reply (request, 400, json_pack ("{ss}", "error", refused), 0);
    return;
  }
  json_array_foreach (when, i, o)
  {
    Entry *e = g_hash_table_lookup (store, text (o, "Key"));
    if ((e ? e->mark : 0) != number (o, "Mark"))
      json_array_append_new (failed, json_string (text (o, "Key")));
  }
  if (json_array_size (failed)) {
    record ("state: n%u commit [%s]: 409", node, what);
    kr_request_reply (request, 409,
                      json_pack ("{so sI}", "failed", failed, "Ledger", (json_int_t) ledger), 0);
    return;
  }
  json_decref (failed);
  if (json_array_size (writes))
    ledger++;
  json_array_foreach (writes, i, o)
  {
    if (text (o, "Put"))
      set_key (text (o, "Put"), json_object_get (o, "Value"), number (o, "Permit"));
    else
      set_key (text (o, "Remove"), NULL, 0);
  }
  record ("state: n%u commit [%s]: 200, revision %u", node, what, (guint) ledger);
  kr_request_reply (request, 200, json_pack ("{sI}", "Ledger", (json_int_t) ledger), 0);
  serve_watches ();
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static void
list_keys (KrRequest *request)
{
  g_autofree char *prefix = param (request, "Prefix"), *from = param (request, "From"),
                  *page = param (request, "Page");
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  guint most = page ? CLAMP ((guint) atoi (page), 1, 1000) : 1000;
  json_t *items = json_array ();
  gsize bytes = 0;
  gboolean more = FALSE;
  GHashTableIter it;
  gpointer key;

  g_hash_table_iter_init (&it, store);
  while (g_hash_table_iter_next (&it, &key, NULL))
    if (g_str_has_prefix (key, prefix ? prefix : "") && (!from || strcmp (key, from) > 0))
      g_ptr_array_add (keys, key);
  g_ptr_array_sort (keys, compare_keys);
  for (guint i = 0; i < keys->len; i++) {
    Entry *e = g_hash_table_lookup (store, keys->pdata[i]);
    bytes += json_bytes (e->value) + 100;
    if ((more = json_array_size (items) >= most || bytes > 500 * 1024))
      break;
    json_array_append_new (items, json_pack ("{ss sO sI}", "Key", keys->pdata[i], "Value", e->value,
                                             "Mark", (json_int_t) e->mark));
  }
  kr_request_reply (
      request, 200,
      json_pack ("{so sb sI}", "Items", items, "More", more, "Ledger", (json_int_t) ledger), 0);
}

static void
get_key (KrRequest *request, const char *key)
{
  Entry *e = g_hash_table_lookup (store, key);
  if (!e) {
    kr_request_reply (request, 404, json_pack ("{sI}", "Ledger", (json_int_t) ledger), 0);
    return;
  }
  json_t *body =
      json_pack ("{ss sO sI}", "Key", key, "Value", e->value, "Mark", (json_int_t) e->mark);
  if (e->permit)
    json_object_set_new (body, "Permit", json_integer ((json_int_t) e->permit));
  kr_request_reply (request, 200, body, 0);
}

static void
handle_lease (KrRequest *request, const char *path)
{
  guint64 id = g_ascii_strtoull (path + strlen ("/leases") + (path[7] == '/'), NULL, 10);
  Lease *lease = id ? g_hash_table_lookup (leases, &id) : NULL;
  if (id && !lease) {
    kr_request_reply (request, 404, NULL, 0);
    return;
  }
  if (g_str_equal (kr_request_method (request), "DELETE")) {
    lease->ends_at = 0;
    state_tick (NULL);
    kr_request_reply (request, 200, NULL, 0);
    return;
  }
  if (!lease) {
    lease = g_new0 (Lease, 1);
    lease->id = ++next_permit;
    g_hash_table_insert (leases, g_memdup2 (&lease->id, sizeof lease->id), lease);
  }
  guint64 ms = number (kr_request_json (request), "LifeMs");
  if (ms)
    lease->life_s = (double) ms / 1000;
  lease->ends_at = now_s () + lease->life_s;
  kr_request_reply (request, 200, json_pack ("{sI}", "Permit", (json_int_t) lease->id), 0);
}

static void
handle_state (KrRequest *request, gpointer data)
{
  const char *path = kr_request_path (request);
  if (!take_tokens (&request_tokens, &request_at, site.rps, 1, 1))
    kr_request_reply (request, 429, NULL, 0);
  else if (g_str_has_prefix (path, "/store/"))
    get_key (request, path + strlen ("/store/"));
  else if (g_str_equal (path, "/store"))
    list_keys (request);
  else if (g_str_equal (path, "/commit"))
    commit (request, GPOINTER_TO_UINT (data));
  else if (g_str_has_prefix (path, "/leases"))
    handle_lease (request, path);
  else if (g_str_equal (path, "/follow")) {
    g_autofree char *from = param (request, "From"), *hold = param (request, "HoldMs");
    Watch *w = g_new (Watch, 1);
    *w = (Watch){ request, param (request, "Prefix"), from ? g_ascii_strtoull (from, NULL, 10) : 0,
                  now_s () + (hold ? atof (hold) : 0) / 1000 };
    g_ptr_array_add (watches, w);
    serve_watches ();
  } else
    kr_request_reply (request, 400, NULL, 0);
}

/* --- workers ------------------------------------------------------------------------------ */
static guint *node_ports;
static gboolean node_ready[MAX_NODES];

static User *
find_user (const char *job)
{
  for (guint i = 0; i < users->len; i++)
    if (g_str_equal (((User *) users->pdata[i])->id, job))
      return users->pdata[i];
  return NULL;
}

static void
task_free (gpointer data)
{
  Task *t = data;
  g_free (t->job);
  g_free (t);
}

static gboolean
is_exited (const Task *t)
{
  return g_str_equal (t->state, "exited");
}

double
cpus_free (const Machine *m)
{
  double free_cpus = site.type_cpus;
  for (guint i = 0; i < m->tasks->len; i++) {
    const Task *t = m->tasks->pdata[i];
    const User *user = find_user (t->job);
    if (!is_exited (t) && user)
      free_cpus -= user->cpus;
  }
  return free_cpus;
}

static double
mem_free (const Machine *m)
{
  double mem = site.type_mem;
  for (guint i = 0; i < m->tasks->len; i++) {
    const Task *t = m->tasks->pdata[i];
    const User *user = find_user (t->job);
    if (!is_exited (t) && user)
      mem -= user->mem;
  }
  return mem;
}

guint
running_tasks (const Machine *m, const char *job)
{
  guint n = 0;
  for (guint i = 0; i < m->tasks->len; i++) {
    const Task *t = m->tasks->pdata[i];
    n += g_str_equal (t->state, "running") && (!job || g_str_equal (t->job, job));
  }
  return n;
}

static void
report_soon (Machine *m)
{
  m->next_report = MIN (m->next_report, MAX (now_s (), m->last_report + 0.5));
}

static json_t *
report_of (Machine *m)
{
  json_t *tasks = json_array ();
  for (guint i = 0; i < m->tasks->len; i++) {
    const Task *t = m->tasks->pdata[i];
    json_t *o = json_pack ("{so sI ss}", "Shift", json_sprintf ("%s/%u", t->job, t->index),
                           "Launch", (json_int_t) t->launch, "Bearing", t->state);
    if (t->why)
      json_object_set_new (o, "Wreck", json_string (t->why));
    json_array_append_new (tasks, o);
  }
  return json_pack ("{ss ss ss ss sb sI sI sI sn so}", "Berth", m->id, "Endpoint", m->endpoint,
                    "Hull", site.type, "Harbor", m->zone, "Driftwood", m->spot, "Watch",
                    (json_int_t) m->watch, "Log", (json_int_t) ++m->log, "Helm",
                    (json_int_t) m->helm, "RecallS", "Shifts", tasks);
}

static Task *
find_task (Machine *m, const char *job, guint index, guint64 launch)
{
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    if (t->index == index && t->launch == launch && g_str_equal (t->job, job))
      return t;
  }
  return NULL;
}

static void
run_task (Machine *m, const char *job, guint index, guint64 launch)
{
  const User *user = find_user (job);
  Task *t = g_new0 (Task, 1);
  gboolean in_use = FALSE;
  for (guint i = 0; i < m->tasks->len; i++) {
    const Task *other = m->tasks->pdata[i];
    in_use |= !is_exited (other) && other->index == index && g_str_equal (other->job, job);
  }
  const char *refused = !user                                                           ? "unknown"
                        : in_use                                                        ? "in_use"
                        : cpus_free (m) + 1e-6 < user->cpus || mem_free (m) < user->mem ? "no_room"
                                                                                        : NULL;
  *t = (Task){ g_strdup (job), index, launch, refused ? "exited" : "pulling", refused, 0, 0 };
  if (user)
    t->ready_at =
        now_s () + (g_hash_table_contains (m->images, text (user->spec, "Cargo")) ? 0 : 1);
  g_ptr_array_add (m->tasks, t);
}

static void
execute (Machine *m, json_t *orders)
{
  json_t *o;
  size_t i;
  json_array_foreach (orders, i, o)
  {
    const char *order = text (o, "Order"), *shift = text (o, "Shift");
    const char *slash = strrchr (shift, '/');
    g_autofree char *job = g_strndup (shift, (gsize) (slash - shift));
    guint index = (guint) atoi (slash + 1);
    guint64 launch = number (o, "Launch");
    Task *t = find_task (m, job, index, launch);
    record ("%s: order %s %s launch %" G_GUINT64_FORMAT, m->id, order, shift, launch);
    if (g_str_equal (order, "run") && !t)
      run_task (m, job, index, launch);
    else if (g_str_equal (order, "kill") && t && !is_exited (t)) {
      t->state = "exited";
      t->why = "stopped";
      record ("%s: task %s stopped", m->id, shift);
    } else if (g_str_equal (order, "clear") && t && is_exited (t))
      g_ptr_array_remove (m->tasks, t);
    else
      continue;
    report_soon (m);
  }
}

static void
see_token (Machine *m, guint64 token)
{
  if (token <= m->helm)
    return;
  m->helm = token;
  if (now_s () - m->token_change > site.lease_s / 2) {
    m->token_change = now_s ();
    report_soon (m);
  }
}

typedef struct {
  Machine *m;
  guint64 watch;
  guint node;
} Sent;

static void
reported (guint status, json_t *body, gpointer data)
{
  g_autofree Sent *sent = data;
  Machine *m = sent->m;
  m->in_flight = FALSE;
  if (m->gone || ending)
    return;
  record ("%s: report to n%u: %u%s", m->id, sent->node, status, status ? "" : " (no answer)");
  if (status == 200) {
    guint64 token = number (body, "Helm");
    if (sent->watch != m->watch || !token || token < m->helm)
      return; /* dropped; the worker stays with the node */
    see_token (m, token);
    m->lease_from = m->sent_at;
    execute (m, json_object_get (body, "Orders"));
    return;
  }
  const char *to = status == 421 ? text (body, "Harbormaster") : NULL;
  guint node = to && g_str_has_prefix (to, "berth-") ? (guint) atoi (to + 6) : site.nodes;
  if (node < site.nodes && node != sent->node) {
    m->node = node;
    m->next_report = now_s () + g_random_double_range (0, 0.5);
  } else {
    m->node = (sent->node + 1) % site.nodes;
    m->next_report = now_s () + 1;
  }
}

static void
send_report (Machine *m)
{
  g_autofree char *host = address_of (node_ports[m->node]);
  Sent *sent = g_new (Sent, 1);
  *sent = (Sent){ m, m->watch, m->node };
  m->in_flight = TRUE;
  m->sent_at = m->last_report = now_s ();
  m->next_report = now_s () + site.report_s * g_random_double_range (0.75, 1.25);
  kr_http_client_call (m->client, "POST", host, "/agent/beat", report_of (m), 4000, NULL, reported,
                       sent);
}

static void
progress_tasks (Machine *m)
{
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    User *user = find_user (t->job);
    if (g_str_equal (t->state, "pulling") && now_s () >= t->ready_at) {
      t->state = "running";
      t->end_at = now_s () + user->run_s;
      g_hash_table_add (m->images, g_strdup (text (user->spec, "Cargo")));
      if (!user->first_start)
        user->first_start = now_s ();
      record ("%s: task %s/%u runs, launch %" G_GUINT64_FORMAT, m->id, t->job, t->index, t->launch);
      report_soon (m);
    } else if (g_str_equal (t->state, "running") && now_s () >= t->end_at) {
      t->state = "exited";
      t->why = "done";
      record ("%s: task %s/%u done", m->id, t->job, t->index);
      if (!user->task_done[t->index]) {
        user->task_done[t->index] = 1;
        if (++user->completed == user->tasks) {
          user->completed_at = now_s ();
          record ("all tasks of %s are done", user->id);
        }
      }
      report_soon (m);
    }
  }
}

static gboolean
machines_tick (gpointer data)
{
  for (guint i = 0; i < machines->len; i++) {
    Machine *m = machines->pdata[i];
    if (m->gone || now_s () < m->up_at)
      continue;
    if (!m->up) {
      m->up = TRUE;
      m->watch = 1;
      m->lease_from = m->next_report = now_s ();
      m->ready_listed_at = now_s ();
      record ("%s: up in %s%s", m->id, m->zone, m->spot ? ", spot" : "");
    }
    if (now_s () - m->lease_from > site.lease_s) {
      record ("%s: lease expired, %u tasks forgotten", m->id, m->tasks->len);
      g_ptr_array_set_size (m->tasks, 0);
      m->watch++;
      m->lease_from = now_s ();
      report_soon (m);
    }
    progress_tasks (m);
    if (!m->in_flight && now_s () >= m->next_report)
      send_report (m);
  }
  return G_SOURCE_CONTINUE;
}

static void
handle_machine (KrRequest *request, gpointer data)
{
  Machine *m = data;
  json_t *body = kr_request_json (request);
  if (m->gone || !m->up)
    return; /* silent */
  if (g_str_equal (kr_request_path (request), "/show")) {
    kr_request_reply (request, 200, report_of (m), 0);
    return;
  }
  if (!json_is_integer (json_object_get (body, "Helm")) ||
      !json_is_integer (json_object_get (body, "Watch"))) {
    kr_request_reply (request, 400, NULL, 0);
    return;
  }
  if (number (body, "Helm") < m->helm || number (body, "Watch") != m->watch) {
    kr_request_reply (request, 409, report_of (m), 0);
    return;
  }
  see_token (m, number (body, "Helm"));
  execute (m, json_object_get (body, "Orders"));
  kr_request_reply (request, 200, report_of (m), 0);
}

/* --- cloud -------------------------------------------------------------------------------- */
static GHashTable *rentals; /* Charter -> array of ids */
static double cloud_tokens = 1e9, cloud_at;

static Machine *
add_machine (const char *zone, gboolean spot, double boot_s)
{
  guint port = free_port ();
  Machine *m = g_new0 (Machine, 1);
  m->id = g_strdup_printf ("host-%06u", machines->len + 1);
  m->endpoint = address_of (port);
  m->zone = g_strdup (zone);
  m->spot = spot;
  m->rented_at = now_s ();
  m->up_at = now_s () + boot_s;
  m->token_change = -1e9;
  m->tasks = g_ptr_array_new_with_free_func (task_free);
  m->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  m->node = (guint) g_random_int_range (0, (gint32) site.nodes);
  m->client = kr_http_client_new (4, 4, 0);
  m->server = serve (port, handle_machine, m);
  g_ptr_array_add (machines, m);
  return m;
}

static void
end_machine (Machine *m, const char *why)
{
  if (m->gone)
    return;
  record ("%s: gone (%s) with %u running tasks", m->id, why, running_tasks (m, NULL));
  m->gone = TRUE;
  m->gone_at = now_s ();
  g_ptr_array_set_size (m->tasks, 0);
}

void
take_machine (Machine *m)
{
  end_machine (m, "taken back by the cloud without a notice");
}

static guint
rented (const char *zone, gboolean spot)
{
  guint n = 0;
  for (guint i = 0; i < machines->len; i++) {
    const Machine *m = machines->pdata[i];
    n += !m->gone && m->spot == spot && g_str_equal (m->zone, zone);
  }
  return n;
}

static void
rent (KrRequest *request)
{
  json_t *body = kr_request_json (request);
  const char *charter = text (body, "Charter"), *zone = text (body, "Harbor");
  gboolean spot = json_is_true (json_object_get (body, "Driftwood"));
  guint64 n = number (body, "Number");
  if (!charter || !zone || n < 1 || n > 50) {
    kr_request_reply (request, 400, NULL, 0);
    return;
  }
  json_t *ids = g_hash_table_lookup (rentals, charter);
  if (!ids) {
    ids = json_array ();
    for (guint64 i = 0; i < n && rented (zone, spot) < (spot ? site.spot_capacity : site.capacity);
         i++)
      json_array_append_new (
          ids, json_string (
                   add_machine (zone, spot, site.ready_s * g_random_double_range (0.6, 1.5))->id));
    record ("cloud: rental %s of %u %s machines in %s: %zu", charter, (guint) n,
            spot ? "spot" : "ordinary", zone, json_array_size (ids));
    if (json_array_size (ids) == 0) {
      json_decref (ids);
      kr_request_reply (request, 503, json_pack ("{ss}", "error", "no capacity"), 0);
      return;
    }
    g_hash_table_insert (rentals, g_strdup (charter), ids);
  }
  kr_request_reply (request, 200, json_pack ("{sO}", "Berths", ids), 0);
}

static void
list_machines (KrRequest *request)
{
  g_autofree char *from = param (request, "From"), *page = param (request, "Page");
  guint most = page ? CLAMP ((guint) atoi (page), 1, 500) : 500;
  double as_of = now_s () - site.list_lag_s;
  json_t *all = json_array ();
  gboolean more = FALSE;
  for (guint i = 0; i < machines->len; i++) {
    const Machine *m = machines->pdata[i];
    if ((from && strcmp (m->id, from) <= 0) || m->rented_at > as_of ||
        (m->gone && m->gone_at <= as_of))
      continue;
    if ((more = json_array_size (all) >= most))
      break;
    json_array_append_new (
        all, json_pack ("{ss ss ss ss sb ss sf}", "Id", m->id, "Endpoint", m->endpoint, "Hull",
                        site.type, "Harbor", m->zone, "Driftwood", m->spot, "Bearing",
                        m->up && m->ready_listed_at <= as_of ? "running" : "starting", "HeldS",
                        as_of - m->rented_at));
  }
  kr_request_reply (request, 200, json_pack ("{so sb}", "Berths", all, "More", more), 0);
}

static void
handle_cloud (KrRequest *request, gpointer data)
{
  const char *path = kr_request_path (request);
  json_t *o;
  size_t i;
  if (!take_tokens (&cloud_tokens, &cloud_at, site.cloud_rps, 2, 1))
    kr_request_reply (request, 429, NULL, 0);
  else if (g_str_equal (path, "/machine_types")) {
    json_t *zones = json_array ();
    for (guint z = 0; site.zones[z]; z++)
      json_array_append_new (zones, json_string (site.zones[z]));
    kr_request_reply (request, 200,
                      json_pack ("{s[{ss sf sf sf sf sf sf sf sf so}]}", "Hulls", "Name", site.type,
                                 "Cores", site.type_cpus, "Accelerators", 0.0, "MemGb",
                                 site.type_mem, "CacheGb", 50.0, "PullGbPerS", 1.0, "Rate", 0.32,
                                 "MarketPrice", 0.07, "ReadyS", site.ready_s, "Harbors", zones),
                      0);
  } else if (g_str_equal (path, "/rentals/delete")) {
    json_array_foreach (json_object_get (kr_request_json (request), "Berths"), i,
                        o) for (guint k = 0; k < machines->len;
                                k++) if (g_strcmp0 (((Machine *) machines->pdata[k])->id,
                                                    json_string_value (o)) == 0)
        end_machine (machines->pdata[k], "deleted by a controller");
    kr_request_reply (request, 200, NULL, 0);
  } else if (g_str_equal (kr_request_method (request), "POST"))
    rent (request);
  else
    list_machines (request);
}

/* --- users and the load balancer ---------------------------------------------------------- */
static KrHttpClient *user_client;
static guint next_node;
static GPid pids[MAX_NODES];

/* A healthy node, in turn. */
static guint
choose_node (void)
{
  for (guint i = 0; i < site.nodes; i++) {
    guint node = next_node++ % site.nodes;
    if (node_ready[node] && pids[node])
      return node;
  }
  return next_node++ % site.nodes;
}

typedef struct {
  User *user;
  guint node;
  gboolean poll;
} Ask;

static gboolean ask (gpointer data);

static void
answered (guint status, json_t *body, gpointer data)
{
  g_autofree Ask *a = data;
  User *user = a->user;
  const char *state = text (body, "Bearing");
  if (ending)
    return;
  record ("user of %s: %s at n%u: %u %s done %d running %d", user->id,
          a->poll ? "poll" : "submission", a->node, status, state ? state : "-",
          (int) json_integer_value (json_object_get (body, "done")),
          (int) json_integer_value (json_object_get (body, "running")));
  if (status == 200 || status == 201) {
    if (!user->accepted)
      user->accepted_at = now_s ();
    user->accepted = TRUE;
    user->last_answer_at = now_s ();
    user->told = g_intern_string (state ? state : "");
    if (state && (g_str_equal (state, "done") || g_str_equal (state, "cancelled")) &&
        !user->finished) {
      user->finished = TRUE;
      user->told_done_at = now_s ();
      return;
    }
  } else if (!a->poll && (status == 400 || status == 422 || now_s () - user->submitted_at > 60)) {
    user->abandoned = TRUE;
    return;
  }
  after (user->accepted ? 5 : 1, ask, user);
}

static gboolean
ask (gpointer data)
{
  User *user = data;
  Ask *a = g_new (Ask, 1);
  *a = (Ask){ user, choose_node (), user->accepted };
  g_autofree char *host = address_of (node_ports[a->node]);
  g_autofree char *path =
      g_strconcat ("/api/jobs", user->accepted ? "/" : "", user->accepted ? user->id : "", NULL);
  if (ending) {
    g_free (a);
    return G_SOURCE_REMOVE;
  }
  kr_http_client_call (user_client, user->accepted ? "GET" : "POST", host, path,
                       user->accepted ? NULL : json_incref (user->spec),
                       user->accepted ? 2000 : 5000, NULL, answered, a);
  return G_SOURCE_REMOVE;
}

User *
submit (const char *id, const char *team, const char *lane, const char *rank, guint tasks,
        double cpus, double mem, double run_s, const char *harbor)
{
  User *user = g_new0 (User, 1);
  user->id = g_strdup (id);
  user->team = g_strdup (team);
  user->tasks = tasks;
  user->cpus = cpus;
  user->mem = mem;
  user->run_s = run_s;
  user->told = "";
  user->task_done = g_malloc0 (tasks);
  user->submitted_at = now_s ();
  user->spec = json_pack (
      "{ss ss ss ss ss sI sf sf sf ss sf sn so sb sb sb sf sf sf sn}", "Id", id, "Lane", lane,
      "Crew", team, "Form", "array", "Rank", rank, "Shifts", (json_int_t) tasks, "Cores", cpus,
      "Accelerators", 0.0, "MemGb", mem, "Cargo", "img-01", "PullGb", 1.0, "Hulls", "Harbor",
      harbor ? json_string (harbor) : json_null (), "OneZone", FALSE, "Apart", FALSE, "Driftwood",
      TRUE, "SailS", run_s, "MooringS", 0.0, "StowS", 0.0, "TideS");
  char *dump = json_dumps (user->spec, JSON_COMPACT);
  record ("user of %s: submits %s", id, dump);
  free (dump);
  g_ptr_array_add (users, user);
  ask (user);
  return user;
}

/* --- controllers -------------------------------------------------------------------------- */
static guint *peer_ports, *state_ports, *cloud_ports;
static guint ready_streak[MAX_NODES], unready_streak[MAX_NODES];
static double answered_at[MAX_NODES]; /* the newest answer to GET /ready; 0: none since its start */

double
node_silent_s (guint node)
{
  return answered_at[node] > 0 && pids[node] ? now_s () - answered_at[node] : 0;
}

static char *
write_settings (guint node)
{
  guint zone_count = 0;
  while (site.zones[zone_count])
    zone_count++;
  g_autoptr (GString) s = g_string_new (NULL);
  g_string_append_printf (s,
                          "node_name = \"berth-%u\"\nzone = \"%s\"\n"
                          "client_listen = \"%s:%u\"\ninternal_addr = \"%s:%u\"\n\n",
                          node, site.zones[node % zone_count], host_address, node_ports[node],
                          host_address, peer_ports[node]);
  for (guint i = 0; i < site.nodes; i++)
    if (i != node)
      g_string_append_printf (
          s, "[[others]]\nnode_name = \"berth-%u\"\nzone = \"%s\"\npeer_addr = \"%s:%u\"\n\n", i,
          site.zones[i % zone_count], host_address, peer_ports[i]);
  g_string_append_printf (s,
                          "[external]\ncloud = \"%s:%u\"\nstate = \"%s:%u\"\n\n"
                          "[facts]\nsize = %u\nclock_error_ms = 250.0\nzones = [",
                          host_address, cloud_ports[node], host_address, state_ports[node],
                          site.nodes);
  for (guint z = 0; site.zones[z]; z++)
    g_string_append_printf (s, "%s\"%s\"", z ? ", " : "", site.zones[z]);
  g_string_append_printf (
      s,
      "]\n\n%s\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\n"
      "gang_peer_s = 5.0\ncancel_s = %.1f\n\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\n"
      "value_kb = %.1f\ntxn_ops = %u\n%s%s\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n"
      "[facts.resources]\ncore_share = 0.04\nram_mb = 56.0\nsockets = 900\n",
      site.teams, site.report_s, site.lease_s, site.cancel_s, site.rps, site.write_rps,
      site.value_kb, site.txn_ops, site.next_limits ? "\n[facts.state.next]\n" : "",
      site.next_limits ? site.next_limits : "", site.cloud_rps, site.list_lag_s);
  char *path = g_strdup_printf ("%s/berth-%u.toml", dir, node);
  g_file_set_contents (path, s->str, -1, NULL);
  return path;
}

static gboolean start_node (gpointer data);

static void
node_ended (GPid pid, gint status, gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  pids[node] = 0;
  node_ready[node] = FALSE;
  ready_streak[node] = 0;
  answered_at[node] = 0;
  if (ending)
    return;
  if (WIFSIGNALED (status))
    record ("n%u: THE PROCESS ENDED BY ITSELF, signal %d (%s)", node, WTERMSIG (status),
            g_strsignal (WTERMSIG (status)));
  else
    record ("n%u: THE PROCESS ENDED BY ITSELF, exit code %d", node, WEXITSTATUS (status));
  ended_by_itself += started;
  after (site.restart_s, start_node, GUINT_TO_POINTER (node));
}

static void
in_child (gpointer log_path)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  FILE *ignored = freopen (log_path, "a", stderr);
  (void) ignored;
}

static gboolean
start_node (gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  if (ending)
    return G_SOURCE_REMOVE;
  g_autofree char *path = write_settings (node);
  g_autofree char *log_path = g_strdup_printf ("%s/berth-%u.log", dir, node);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autoptr (GError) error = NULL;
  for (char **p = program; *p; p++)
    g_ptr_array_add (argv, *p);
  g_ptr_array_add (argv, path);
  g_ptr_array_add (argv, NULL);
  if (!g_spawn_async (NULL, (char **) argv->pdata, NULL, G_SPAWN_DO_NOT_REAP_CHILD, in_child,
                      log_path, &pids[node], &error)) {
    fprintf (stderr, "%s\n", error->message);
    exit (2);
  }
  record ("n%u: started", node);
  g_child_watch_add (pids[node], node_ended, data);
  return G_SOURCE_REMOVE;
}

static void
probed (guint status, json_t *body, gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  if (status)
    answered_at[node] = now_s ();
  if (status != 200 && pids[node] && !ending)
    record ("GET /ready at n%u: %u%s", node, status, status ? "" : " (no answer)");
  ready_streak[node] = status == 200 ? ready_streak[node] + 1 : 0;
  unready_streak[node] = status == 200 ? 0 : unready_streak[node] + 1;
  if (ready_streak[node] >= 1 && !started)
    node_ready[node] = TRUE;
  if (ready_streak[node] >= 2)
    node_ready[node] = TRUE;
  if (unready_streak[node] >= 2)
    node_ready[node] = FALSE;
}

static gboolean
probe_nodes (gpointer data)
{
  for (guint i = 0; i < site.nodes; i++) {
    g_autofree char *host = address_of (node_ports[i]);
    if (!ending)
      kr_http_client_call (user_client, "GET", host, "/ready", NULL, 1000, NULL, probed,
                           GUINT_TO_POINTER (i));
  }
  return G_SOURCE_CONTINUE;
}

gboolean
all_ready (void)
{
  for (guint i = 0; i < site.nodes; i++)
    if (!node_ready[i])
      return FALSE;
  return TRUE;
}

static int result = -1;

static gboolean
tick (gpointer data)
{
  if (!started && all_ready ()) {
    started = TRUE;
    record ("all controllers are ready");
    scenario_start (trouble);
  }
  if (!started && now_s () > READY_WITHIN_S) {
    record ("the controllers are not ready");
    result = 2;
    g_main_loop_quit (loop);
    return G_SOURCE_REMOVE;
  }
  if (started && (scenario_tick (trouble) || now_s () > LONGEST_S)) {
    result = scenario_result (trouble);
    g_main_loop_quit (loop);
    return G_SOURCE_REMOVE;
  }
  return G_SOURCE_CONTINUE;
}

/* standin RECORD DIRECTORY PROGRAM ARGUMENTS... */
int
main (int argc, char **argv)
{
  if (argc < 4)
    return 2;
  const char *wanted = g_getenv ("TROUBLE");
  trouble = !wanted || !g_str_equal (wanted, "0");
  g_random_set_seed (g_getenv ("seed") ? (guint32) atoi (g_getenv ("seed")) : 0);
  record_file = fopen (argv[1], "w");
  if (!record_file)
    return 2;
  setlinebuf (record_file);
  dir = argv[2];
  program = argv + 3;
  signal (SIGPIPE, SIG_IGN);
  start_us = g_get_monotonic_time ();
  loop = g_main_loop_new (NULL, FALSE);
  machines = g_ptr_array_new ();
  users = g_ptr_array_new ();
  store = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  changes = g_array_new (FALSE, FALSE, sizeof (Change));
  watches = g_ptr_array_new ();
  rentals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  user_client = kr_http_client_new (200, 60, 0);
  scenario_site ();
  limit_value_kb = site.value_kb;
  limit_write_rps = site.write_rps;
  limit_txn_ops = site.txn_ops;

  g_autofree guint *ports = g_new (guint, 4 * site.nodes);
  host_address = g_strdup_printf ("127.%d.%d.1", 20 + getpid () % 230, 1 + getpid () / 230 % 250);
  for (guint i = 0; i < 4 * site.nodes; i++)
    ports[i] = free_port ();
  node_ports = ports;
  peer_ports = ports + site.nodes;
  state_ports = ports + 2 * site.nodes;
  cloud_ports = ports + 3 * site.nodes;
  record ("%s the trouble", trouble ? "with" : "without");
  for (guint i = 0; i < site.nodes; i++) {
    serve (state_ports[i], handle_state, GUINT_TO_POINTER (i));
    serve (cloud_ports[i], handle_cloud, GUINT_TO_POINTER (i));
  }
  guint zone_count = 0;
  while (site.zones[zone_count])
    zone_count++;
  for (guint i = 0; i < site.initial; i++)
    add_machine (site.zones[i % zone_count], FALSE, 0);
  for (guint i = 0; i < site.nodes; i++)
    start_node (GUINT_TO_POINTER (i));
  g_timeout_add (20, state_tick, NULL);
  g_timeout_add (20, machines_tick, NULL);
  g_timeout_add (1000, probe_nodes, NULL);
  g_timeout_add (100, tick, NULL);
  g_main_loop_run (loop);

  ending = TRUE;
  for (guint i = 0; i < site.nodes; i++)
    if (pids[i]) {
      kill (pids[i], SIGKILL);
      waitpid (pids[i], NULL, 0);
    }
  record ("result: %s", result == 1   ? "the rule was BROKEN"
                        : result == 0 ? "the rule held"
                                      : "the case did not run as meant");
  fclose (record_file);
  return result;
}
