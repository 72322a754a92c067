#include "membership.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <stdlib.h>
#include <string.h>

struct KrMembership {
  const KrSettings *settings;
  KrStateClient *state;
  GCancellable *cancel;
  KrMembershipEvents events;
  gpointer data;
  char *incarnation;
  KrWatch *follow;
  gboolean seen;       /* c/ was read since we began, or began anew */
  gint64 unseen_since; /* monotonic us, while not seen */
  gboolean given_up;   /* our lease is left to run out */
  guint scans;         /* asked for */
  KrHolder *holders;   /* size parts, then the leader */
  KrMachineRecords *records;
  KrOwnerHistory *claims; /* size */
  GHashTable *present;    /* node -> Present */
  guint64 lease;
  gboolean lease_busy;
  gint64 presence_at;     /* monotonic us: our presence is not written again before */
  gboolean away;          /* what our presence says: we keep off our home part */
  gboolean shown;         /* our presence, under this incarnation, is what the watch showed last */
  guint64 shown_revision; /* of our presence, */
  guint64 probe_revision; /* and of the newest probe of us, which is to be older */
  gint64 renewal_sent, proven;
  guint lease_timer, duty_timer;
};

typedef struct {
  gint64 since;  /* monotonic us */
  gboolean away; /* it keeps off its home part for now */
} Present;

/* A change of one holder's key under way. */
typedef struct {
  KrMembership *m;
  guint which;
  gboolean removal;
} Change;

char *
kr_membership_presence_key (const char *node)
{
  return g_strconcat ("c/node/", node, NULL);
}

char *
kr_membership_probe_key (const char *node, const char *by)
{
  return g_strconcat ("c/probe/", node, "/", by, NULL);
}

guint64
kr_membership_lease (KrMembership *membership)
{
  return membership->lease;
}

gboolean
kr_membership_is_present (KrMembership *membership, const char *node)
{
  return g_hash_table_contains (membership->present, node);
}

guint64
kr_membership_presence_lease (json_t *presence)
{
  json_int_t lease = json_integer_value (json_object_get (presence, "Lease"));
  return lease > 0 ? (guint64) lease : 0;
}

char *
kr_membership_owner_key (guint shard)
{
  return g_strdup_printf ("c/owner/%u", shard);
}

char *
kr_membership_owner_history_key (guint shard)
{
  return g_strdup_printf ("c/claim/%u", shard);
}

char *
kr_membership_summary_key (guint shard)
{
  return g_strdup_printf ("c/needs/%u", shard);
}

static char *
holder_key (KrMembership *membership, guint which)
{
  return which == membership->settings->shard_count ? g_strdup (KR_LEADER_KEY)
                                                    : kr_membership_owner_key (which);
}

const KrHolder *
kr_membership_holder (KrMembership *membership, guint shard)
{
  return &membership->holders[shard];
}

const KrHolder *
kr_membership_leader (KrMembership *membership)
{
  return &membership->holders[membership->settings->shard_count];
}

const KrOwnerHistory *
kr_membership_owner_history (KrMembership *membership, guint shard)
{
  return &membership->claims[shard];
}

gboolean
kr_membership_is_synced (KrMembership *membership)
{
  return membership->seen;
}

static gboolean
mine (KrMembership *membership, const KrHolder *holder)
{
  return holder->node && g_str_equal (holder->node, membership->settings->node_name) &&
         g_strcmp0 (holder->incarnation, membership->incarnation) == 0;
}

gboolean
kr_membership_owns (KrMembership *membership, guint shard)
{
  return mine (membership, &membership->holders[shard]);
}

static gboolean
keeps_off (KrMembership *membership)
{
  return membership->settings->self_index < membership->settings->shard_count &&
         kr_now () < membership->holders[membership->settings->self_index].backoff_until;
}

gint64
kr_membership_lease_confirmed_at (KrMembership *membership)
{
  return membership->proven;
}

gboolean
kr_membership_is_leader (KrMembership *membership)
{
  return mine (membership, &membership->holders[membership->settings->shard_count]);
}

/* --- what the watch shows ------------------------------------------------------------ */
static void
set_holder (KrMembership *membership, guint which, json_t *value, guint64 revision)
{
  KrHolder *holder = &membership->holders[which];
  const char *node = json_string_value (json_object_get (value, "Node"));

  if (value && !node) {
    /* Not "nobody": a key that is there cannot be taken as a free one. */
    kr_info ("state: the key of %s %u is malformed, left as it was known",
             which == membership->settings->shard_count ? "leader" : "part", which);
    return;
  }
  if (revision < holder->revision || (revision == holder->revision && !!node == !!holder->node))
    return;
  gboolean before = mine (membership, holder);
  g_clear_pointer (&holder->node, g_free);
  g_clear_pointer (&holder->incarnation, g_free);
  holder->revision = revision;
  holder->replaced_revision = 0;
  if (node) {
    holder->node = g_strdup (node);
    holder->incarnation = g_strdup (json_string_value (json_object_get (value, "Inc")));
    holder->replaced_revision = (guint64) json_integer_value (json_object_get (value, "From"));
  } else
    holder->free_since = kr_now ();
  if (!before && mine (membership, holder))
    holder->ours_since = kr_now ();
  if (which == membership->settings->shard_count)
    kr_info ("leader: %s (token %" G_GUINT64_FORMAT ")", node ? node : "none", revision);
  else {
    kr_info ("part %u: owner %s (token %" G_GUINT64_FORMAT ")", which, node ? node : "none",
             revision);
    membership->events.holder_changed (which, membership->data);
  }
}

gboolean
kr_membership_observe_owner (KrMembership *membership, guint shard, const char *node, guint64 token)
{
  const KrHolder *holder = &membership->holders[shard];
  if (holder->revision < token) {
    json_t *value = json_pack ("{ss}", "Node", node);
    set_holder (membership, shard, value, token);
    json_decref (value);
  }
  return holder->revision >= token && !mine (membership, holder);
}

void
kr_membership_apply_owner_history (KrMembership *membership, guint shard, json_t *value,
                                   guint64 revision)
{
  kr_owner_history_update (&membership->claims[shard], value, revision, membership->settings);
}

/* value: NULL: it is gone. */
static void
note_node (KrMembership *membership, const char *name, json_t *value)
{
  Present *there = g_hash_table_lookup (membership->present, name);
  if (!value) {
    if (g_hash_table_remove (membership->present, name))
      kr_info ("node %s: gone", name);
    return;
  }
  if (!there) {
    there = g_new0 (Present, 1);
    there->since = kr_now ();
    g_hash_table_insert (membership->present, g_strdup (name), there);
    kr_info ("node %s: present", name);
  }
  there->away = json_is_true (json_object_get (value, "Away"));
}

static void put_presence (KrMembership *membership);

static gboolean
is_probe_of_us (KrMembership *membership, const char *key)
{
  g_autofree char *ours = kr_membership_probe_key (membership->settings->node_name, "");
  return g_str_has_prefix (key, ours);
}

static void
on_event (const KrKeyValue *item, gpointer data)
{
  KrMembership *membership = data;
  guint size = membership->settings->shard_count;
  const char *k = item->key;

  if (g_str_has_prefix (k, "c/node/")) {
    const char *name = k + strlen ("c/node/");
    note_node (membership, name, item->value);
    if (g_str_equal (name, membership->settings->node_name)) {
      membership->shown = g_strcmp0 (json_string_value (json_object_get (item->value, "Inc")),
                                     membership->incarnation) == 0;
      membership->shown_revision = item->revision;
    }
  } else if (g_str_has_prefix (k, "c/probe/")) {
    if (item->value && is_probe_of_us (membership, k) &&
        item->revision > membership->probe_revision) {
      membership->probe_revision = item->revision;
      membership->presence_at = 0;
    }
  } else if (g_str_equal (k, KR_LEADER_KEY))
    set_holder (membership, size, item->value, item->revision);
  else if (g_str_has_prefix (k, "c/owner/")) {
    guint p = (guint) atoi (k + strlen ("c/owner/"));
    if (p < size)
      set_holder (membership, p, item->value, item->revision);
  } else if (g_str_has_prefix (k, "c/claim/")) {
    guint p = (guint) atoi (k + strlen ("c/claim/"));
    if (p < size && item->value)
      kr_membership_apply_owner_history (membership, p, item->value, item->revision);
  } else if (g_str_has_prefix (k, "c/needs/")) {
    guint p = (guint) atoi (k + strlen ("c/needs/"));
    if (p < size && item->value)
      membership->events.summary_stored (p, item->value, membership->data);
  } else
    kr_machine_records_apply (membership->records, item);
}

static gboolean
is_holder_key (const char *key)
{
  return g_str_equal (key, KR_LEADER_KEY) || g_str_has_prefix (key, "c/owner/");
}

/* Who holds what, from all of c/. */
static void
scan_holders (KrMembership *membership, json_t *items, guint64 revision)
{
  guint size = membership->settings->shard_count;
  g_autofree gboolean *found = g_new0 (gboolean, size + 1);
  json_t *o;
  size_t i;

  json_array_foreach (items, i, o)
  {
    KrKeyValue item;
    if (!kr_wire_key_value_parse (o, &item) || !is_holder_key (item.key))
      continue;
    for (guint p = 0; p <= size; p++) {
      g_autofree char *key = holder_key (membership, p);
      if (g_str_equal (key, item.key))
        found[p] = TRUE;
    }
    on_event (&item, membership);
  }
  for (guint p = 0; p <= size; p++)
    if (!found[p])
      set_holder (membership, p, NULL, revision);
}

/* Keys come in their order, records before owners. But who holds a part is looked at first: a
 * former owner must not take what its successor wrote into the record for a change behind its back,
 * and delete a machine that is not its own any more. */
static void
on_scan (json_t *items, guint64 revision, gpointer data)
{
  KrMembership *membership = data;
  g_autoptr (GHashTable) nodes = g_hash_table_new (g_str_hash, g_str_equal);
  guint scans = membership->scans; /* what is seen here may make somebody ask for a further one */
  json_t *o;
  size_t i;

  kr_info ("state: who owns what is read, %zu keys, revision %" G_GUINT64_FORMAT,
           json_array_size (items), revision);
  scan_holders (membership, items, revision);
  json_array_foreach (items, i, o)
  {
    KrKeyValue item;
    if (!kr_wire_key_value_parse (o, &item) || is_holder_key (item.key))
      continue;
    if (g_str_has_prefix (item.key, "c/node/"))
      g_hash_table_add (nodes, (char *) item.key + strlen ("c/node/"));
    on_event (&item, membership);
  }
  if (!g_hash_table_contains (nodes, membership->settings->node_name))
    membership->shown = FALSE;
  g_autoptr (GList) known = g_hash_table_get_keys (membership->present);
  for (GList *l = known; l; l = l->next) {
    g_autofree char *name = g_strdup (l->data);
    if (!g_hash_table_contains (nodes, name))
      note_node (membership, name, NULL);
  }
  membership->seen = TRUE;
  membership->given_up = FALSE;
  if (membership->scans == scans)
    membership->events.relisted (membership->data);
}

void
kr_membership_relist (KrMembership *membership)
{
  membership->scans++;
  kr_watch_relist (membership->follow);
}

/* --- taking and giving --------------------------------------------------------------- */
static void
change_done (guint status, json_t *body, gpointer data)
{
  Change *c = data;
  KrMembership *membership = c->m;
  KrHolder *holder = &membership->holders[c->which];

  holder->txn_in_flight = FALSE;
  if (status == 200 && c->removal)
    set_holder (membership, c->which, NULL, kr_wire_revision (body));
  else if (status == 400)
    membership->lease = 0; /* no such lease: the duty makes a new one */
  g_free (c);
}

static void
take (KrMembership *membership, guint which)
{
  KrHolder *holder = &membership->holders[which];
  guint64 expect = holder->node ? holder->revision : 0;
  g_autofree char *key = holder_key (membership, which);
  KrTxn *txn = kr_txn_new ();
  Change *c = g_new (Change, 1);

  *c = (Change){ membership, which, FALSE };
  holder->txn_in_flight = TRUE;
  kr_txn_expect_revision (txn, key, expect);
  kr_txn_put (txn, key,
              json_pack ("{ss ss sI}", "Node", membership->settings->node_name, "Inc",
                         membership->incarnation, "From", (json_int_t) expect),
              membership->lease);
  kr_state_commit (membership->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, membership->cancel,
                   change_done, c);
}

void
kr_membership_renew_token (KrMembership *membership, guint shard)
{
  if (membership->lease && !membership->holders[shard].txn_in_flight &&
      kr_membership_owns (membership, shard)) {
    kr_info ("part %u: a machine has seen a higher token, renewing ours", shard);
    take (membership, shard);
  }
}

void
kr_membership_release (KrMembership *membership, guint shard, guint keep_off_ms)
{
  KrHolder *holder = &membership->holders[shard];
  if (holder->txn_in_flight || !mine (membership, holder))
    return;
  g_autofree char *key = holder_key (membership, shard);
  KrTxn *txn = kr_txn_new ();
  Change *c = g_new (Change, 1);

  *c = (Change){ membership, shard, TRUE };
  holder->txn_in_flight = TRUE;
  holder->backoff_until = kr_now () + (gint64) keep_off_ms * 1000;
  kr_txn_expect_revision (txn, key, holder->revision);
  kr_txn_remove (txn, key);
  kr_state_commit (membership->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, membership->cancel,
                   change_done, c);
}

static guint
parts_held (KrMembership *membership)
{
  guint n = 0;
  for (guint p = 0; p < membership->settings->shard_count; p++)
    n += kr_membership_owns (membership, p);
  return n;
}

/* Whether this node should take a free key now: the home node at once, others after a while, the
 * idlest first, so that two nodes rarely race (and if they do, one commit wins). */
static gboolean
due (KrMembership *membership, guint which, gint64 now)
{
  KrHolder *holder = &membership->holders[which];
  const KrSettings *settings = membership->settings;
  if (now < holder->backoff_until)
    return FALSE;
  if (which < settings->shard_count && which == settings->self_index)
    return TRUE;
  gint64 wait = KR_NON_HOME_STEP_MS * (gint64) parts_held (membership);
  if (which < settings->shard_count)
    wait += KR_NON_HOME_WAIT_MS;
  return now - holder->free_since >= wait * 1000;
}

/* Not while its takeover is under way here: at home it would begin anew, with all waits. One that
 * does not come to its end here may at home. */
static gboolean
may_hand_back (KrMembership *membership, guint shard, gint64 now)
{
  double limit_s = KR_HAND_BACK_MAX_LEASES * membership->settings->worker_lease_s;
  gint64 held = now - membership->holders[shard].ours_since;
  return membership->claims[shard].all_fenced || held > (gint64) (limit_s * G_USEC_PER_SEC);
}

static gboolean
duty (gpointer data)
{
  KrMembership *membership = data;
  const KrSettings *settings = membership->settings;
  gint64 now = kr_now ();

  if (!membership->seen || !membership->lease)
    return G_SOURCE_CONTINUE;
  if (membership->away != keeps_off (membership))
    membership->shown = FALSE;
  /* Also where a late copy of our earlier life's request put its presence over ours, to end with
   * its lease. */
  gboolean answered = membership->shown_revision > membership->probe_revision;
  if ((!membership->shown || !answered) && now >= membership->presence_at)
    put_presence (membership);
  for (guint p = 0; p <= settings->shard_count; p++) {
    KrHolder *holder = &membership->holders[p];
    if (holder->txn_in_flight)
      continue;
    if (!holder->node) {
      if (due (membership, p, now))
        take (membership, p);
    } else if (g_str_equal (holder->node, settings->node_name) && !mine (membership, holder)) {
      /* Our own earlier life held it: nobody else can have acted in between. */
      take (membership, p);
    } else if (p < settings->shard_count && mine (membership, holder) &&
               p != settings->self_index && p < settings->node_names->len) {
      const Present *home =
          g_hash_table_lookup (membership->present, settings->node_names->pdata[p]);
      /* Not to one that has just handed it on for silence: the part would go to and fro, closed
       * each time, for as long as its home keeps off. */
      if (home && !home->away && may_hand_back (membership, p, now) &&
          now - MAX (home->since, holder->ours_since) >
              KR_HOME_HEALTHY_MS * G_GINT64_CONSTANT (1000)) {
        kr_info ("part %u: handing it back to %s", p, (char *) settings->node_names->pdata[p]);
        kr_membership_release (membership, p, KR_HOME_HEALTHY_MS);
      }
    }
  }
  return G_SOURCE_CONTINUE;
}

/* --- the lease ----------------------------------------------------------------------- */
static void
node_key_done (guint status, json_t *body, gpointer data)
{
  KrMembership *membership = data;
  if (status == 400)
    membership->lease = 0;
  else if (status == 503)
    membership->presence_at = kr_now () + KR_STATE_RETRY_MS * G_GINT64_CONSTANT (1000);
}

static void
put_presence (KrMembership *membership)
{
  membership->presence_at = kr_now () + KR_NODE_RENEW_MS * G_GINT64_CONSTANT (1000);
  g_autofree char *key = kr_membership_presence_key (membership->settings->node_name);
  KrTxn *txn = kr_txn_new ();
  membership->away = keeps_off (membership);
  kr_txn_put (txn, key,
              json_pack ("{ss sb sI}", "Inc", membership->incarnation, "Away", membership->away,
                         "Lease", (json_int_t) membership->lease),
              membership->lease);
  kr_state_commit (membership->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, membership->cancel,
                   node_key_done, membership);
}

void
kr_membership_refresh_presence (KrMembership *membership)
{
  if (membership->seen && membership->lease && kr_now () >= membership->presence_at)
    put_presence (membership);
}

static void
lease_done (guint status, json_t *body, gpointer data)
{
  KrMembership *membership = data;
  membership->lease_busy = FALSE;
  if (status == 404) {
    kr_info ("state: our lease is over");
    membership->lease = 0;
  } else if (status == 200 && membership->lease) {
    membership->proven = membership->renewal_sent;
  } else if (status == 200 && (membership->lease = kr_wire_lease_parse (body))) {
    put_presence (membership);
  }
}

/* A node that cannot read who owns what serves none of its parts: without its keys another can. */
static gboolean
must_give_up (KrMembership *membership)
{
  double unseen_s = (double) (kr_now () - membership->unseen_since) / G_USEC_PER_SEC;
  if (membership->seen || !membership->lease || unseen_s < KR_OWNERS_UNREAD_MAX_S)
    return FALSE;
  if (!membership->given_up)
    kr_info ("state: our lease stands, but c/ could not be read for %.0f s, giving our keys up",
             unseen_s);
  membership->given_up = TRUE;
  return TRUE;
}

static gboolean
renew (gpointer data)
{
  KrMembership *membership = data;
  if (!membership->lease_busy && !must_give_up (membership)) {
    membership->lease_busy = TRUE;
    membership->renewal_sent = kr_now ();
    kr_state_grant_or_renew_lease (membership->state, membership->lease, KR_NODE_LEASE_MS,
                                   membership->cancel, lease_done, membership);
  }
  return G_SOURCE_CONTINUE;
}

static char *
incarnation_new (void)
{
  return g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
}

/* Guards against a node that stood still and goes on from what it knew: others may have taken its
 * parts, and acted. It begins a new life, as a restarted process does: what it held it holds no
 * more, and what still stands under its name it takes anew, with a newer token. */
static gboolean
stood_still (gpointer data)
{
  KrMembership *membership = data;
  g_autofree gboolean *ours = g_new0 (gboolean, membership->settings->shard_count);

  kr_info ("%s stood still, and begins anew", membership->settings->node_name);
  for (guint p = 0; p < membership->settings->shard_count; p++)
    ours[p] = kr_membership_owns (membership, p);
  g_free (membership->incarnation);
  membership->incarnation = incarnation_new ();
  membership->seen = membership->shown = FALSE;
  membership->unseen_since = kr_now ();
  for (guint p = 0; p < membership->settings->shard_count; p++)
    if (ours[p])
      membership->events.holder_changed (p, membership->data);
  kr_membership_relist (membership);
  return G_SOURCE_CONTINUE;
}

KrMembership *
kr_membership_new (const KrSettings *settings, KrStateClient *state, KrMachineRecords *records,
                   GCancellable *cancel, const KrMembershipEvents *events, gpointer data)
{
  KrMembership *membership = g_new0 (KrMembership, 1);
  membership->settings = settings;
  membership->state = state;
  membership->cancel = kr_cancellable_new_child (cancel);
  membership->events = *events;
  membership->data = data;
  membership->incarnation = incarnation_new ();
  membership->unseen_since = kr_now ();
  membership->holders = g_new0 (KrHolder, settings->shard_count + 1);
  for (guint p = 0; p <= settings->shard_count; p++)
    membership->holders[p].free_since = kr_now ();
  membership->records = records;
  membership->claims = g_new0 (KrOwnerHistory, settings->shard_count);
  membership->present = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  membership->follow =
      kr_watch_new (state, "c/", membership->cancel, on_scan, on_event, membership);
  kr_watch_relist (membership->follow);
  renew (membership);
  membership->lease_timer = kr_timer_add (KR_NODE_RENEW_MS, renew, membership);
  membership->duty_timer = kr_timer_add (KR_RECONCILE_MS, duty, membership);
  kr_stall_detector_add (KR_PROCESS_STALL_MS, stood_still, membership);
  return membership;
}

void
kr_membership_free (KrMembership *membership)
{
  kr_timer_remove (membership->lease_timer);
  kr_timer_remove (membership->duty_timer);
  g_cancellable_cancel (membership->cancel);
  kr_watch_stop (membership->follow);
}
