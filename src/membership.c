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
  KrWatch *watch;
  gboolean synced;          /* c/ was listed since the start, or since the last process stall */
  gint64 unsynced_since;    /* monotonic us; valid while not synced */
  gboolean lease_abandoned; /* the lease is left to expire */
  guint relist_count;       /* the number of calls of kr_membership_relist() */
  KrHolder *holders;        /* an entry for each shard, then the leader's */
  KrMachineRecords *records;
  KrOwnerHistory *owner_histories; /* an entry for each shard */
  GHashTable *present;             /* node name -> Presence */
  guint64 lease;
  gboolean lease_call_in_flight;
  gint64 next_presence_at; /* monotonic us; this node's presence is not written before */
  gboolean holds_off_home; /* as last written in this node's presence; see Presence */
  /* The watch last showed this node's presence as this incarnation wrote it. */
  gboolean presence_current;
  guint64 presence_revision; /* of this node's presence, as last shown by the watch */
  /* Revision of the newest probe of this node; the probe is answered once the presence is newer. */
  guint64 probe_revision;
  gint64 renewal_sent;       /* monotonic us */
  gint64 lease_confirmed_at; /* monotonic us; see kr_membership_lease_confirmed_at() */
  guint lease_timer, reconcile_timer;
};

/* A node whose presence key exists. */
typedef struct {
  gint64 since;            /* monotonic us */
  gboolean holds_off_home; /* the node does not acquire its home shard for now */
} Presence;

/* A change of a holder key that is in flight. */
typedef struct {
  KrMembership *membership;
  guint key_index; /* the shard, or shard_count for the leader's key */
  gboolean is_release;
} KeyChange;

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
  return kr_json_uint (json_object_get (presence, "Lease"));
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

/* Returns the name of a holder key; key_index: the shard, or shard_count for the leader's key. The
 * caller frees it with g_free(). */
static char *
holder_key (KrMembership *membership, guint key_index)
{
  return key_index == membership->settings->shard_count ? g_strdup (KR_LEADER_KEY)
                                                        : kr_membership_owner_key (key_index);
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
  return &membership->owner_histories[shard];
}

gboolean
kr_membership_is_synced (KrMembership *membership)
{
  return membership->synced;
}

/* Whether this incarnation of this node holds the key. */
static gboolean
held_by_this_node (KrMembership *membership, const KrHolder *holder)
{
  return holder->node && g_str_equal (holder->node, membership->settings->node_name) &&
         g_strcmp0 (holder->incarnation, membership->incarnation) == 0;
}

gboolean
kr_membership_owns (KrMembership *membership, guint shard)
{
  return held_by_this_node (membership, &membership->holders[shard]);
}

static gboolean
in_home_hold_off (KrMembership *membership)
{
  return membership->settings->self_index < membership->settings->shard_count &&
         kr_now () < membership->holders[membership->settings->self_index].backoff_until;
}

gint64
kr_membership_lease_confirmed_at (KrMembership *membership)
{
  return membership->lease_confirmed_at;
}

gboolean
kr_membership_is_leader (KrMembership *membership)
{
  return held_by_this_node (membership, &membership->holders[membership->settings->shard_count]);
}

/* --- contents of c/ ------------------------------------------------------------------ */
/* value: NULL if the key does not exist. */
static void
set_holder (KrMembership *membership, guint key_index, json_t *value, guint64 revision)
{
  KrHolder *holder = &membership->holders[key_index];
  const char *node = json_string_value (json_object_get (value, "Node"));

  if (value && !node) {
    /* The key is not treated as free: a transaction that expects it to be absent would fail. */
    kr_info ("state: the key of %s %u is malformed, keeping the last known holder",
             key_index == membership->settings->shard_count ? "leader" : "shard", key_index);
    return;
  }
  if (revision < holder->revision || (revision == holder->revision && !!node == !!holder->node))
    return;
  gboolean was_held = held_by_this_node (membership, holder);
  g_clear_pointer (&holder->node, g_free);
  g_clear_pointer (&holder->incarnation, g_free);
  holder->revision = revision;
  holder->replaced_revision = 0;
  if (node) {
    holder->node = g_strdup (node);
    holder->incarnation = g_strdup (json_string_value (json_object_get (value, "Inc")));
    holder->replaced_revision = kr_json_uint (json_object_get (value, "From"));
  } else
    holder->free_since = kr_now ();
  if (!was_held && held_by_this_node (membership, holder))
    holder->owned_since = kr_now ();
  if (key_index == membership->settings->shard_count)
    kr_info ("leader: %s (token %" G_GUINT64_FORMAT ")", node ? node : "none", revision);
  else {
    kr_info ("shard %u: owner %s (token %" G_GUINT64_FORMAT ")", key_index, node ? node : "none",
             revision);
    membership->events.holder_changed (key_index, membership->data);
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
  return holder->revision >= token && !held_by_this_node (membership, holder);
}

void
kr_membership_apply_owner_history (KrMembership *membership, guint shard, json_t *value,
                                   guint64 revision)
{
  kr_owner_history_update (&membership->owner_histories[shard], value, revision,
                           membership->settings);
}

/* value: NULL if the key was deleted. */
static void
apply_presence (KrMembership *membership, const char *name, json_t *value)
{
  Presence *presence = g_hash_table_lookup (membership->present, name);
  if (!value) {
    if (g_hash_table_remove (membership->present, name))
      kr_info ("node %s: no longer present", name);
    return;
  }
  if (!presence) {
    presence = g_new0 (Presence, 1);
    presence->since = kr_now ();
    g_hash_table_insert (membership->present, g_strdup (name), presence);
    kr_info ("node %s: present", name);
  }
  presence->holds_off_home = json_is_true (json_object_get (value, "Away"));
}

static void put_presence (KrMembership *membership);

static gboolean
is_probe_of_this_node (KrMembership *membership, const char *key)
{
  g_autofree char *own_prefix = kr_membership_probe_key (membership->settings->node_name, "");
  return g_str_has_prefix (key, own_prefix);
}

static void
on_watch_event (const KrKeyValue *item, gpointer data)
{
  KrMembership *membership = data;
  guint shard_count = membership->settings->shard_count;
  const char *key = item->key;

  if (g_str_has_prefix (key, "c/node/")) {
    const char *name = key + strlen ("c/node/");
    apply_presence (membership, name, item->value);
    if (g_str_equal (name, membership->settings->node_name)) {
      membership->presence_current =
          g_strcmp0 (json_string_value (json_object_get (item->value, "Inc")),
                     membership->incarnation) == 0;
      membership->presence_revision = item->revision;
    }
  } else if (g_str_has_prefix (key, "c/probe/")) {
    if (item->value && is_probe_of_this_node (membership, key) &&
        item->revision > membership->probe_revision) {
      membership->probe_revision = item->revision;
      membership->next_presence_at = 0;
    }
  } else if (g_str_equal (key, KR_LEADER_KEY))
    set_holder (membership, shard_count, item->value, item->revision);
  else if (g_str_has_prefix (key, "c/owner/")) {
    guint shard = (guint) atoi (key + strlen ("c/owner/"));
    if (shard < shard_count)
      set_holder (membership, shard, item->value, item->revision);
  } else if (g_str_has_prefix (key, "c/claim/")) {
    guint shard = (guint) atoi (key + strlen ("c/claim/"));
    if (shard < shard_count && item->value)
      kr_membership_apply_owner_history (membership, shard, item->value, item->revision);
  } else if (g_str_has_prefix (key, "c/needs/")) {
    guint shard = (guint) atoi (key + strlen ("c/needs/"));
    if (shard < shard_count && item->value)
      membership->events.summary_stored (shard, item->value, membership->data);
  } else
    kr_machine_records_apply (membership->records, item);
}

static gboolean
is_holder_key (const char *key)
{
  return g_str_equal (key, KR_LEADER_KEY) || g_str_has_prefix (key, "c/owner/");
}

/* Applies all holder keys in a list of c/, also those that are absent from it. */
static void
apply_listed_holders (KrMembership *membership, json_t *items, guint64 revision)
{
  guint shard_count = membership->settings->shard_count;
  g_autofree gboolean *found = g_new0 (gboolean, shard_count + 1);
  json_t *entry;
  size_t i;

  json_array_foreach (items, i, entry)
  {
    KrKeyValue item;
    if (!kr_wire_key_value_parse (entry, &item) || !is_holder_key (item.key))
      continue;
    for (guint key_index = 0; key_index <= shard_count; key_index++) {
      g_autofree char *key = holder_key (membership, key_index);
      if (g_str_equal (key, item.key))
        found[key_index] = TRUE;
    }
    on_watch_event (&item, membership);
  }
  for (guint key_index = 0; key_index <= shard_count; key_index++)
    if (!found[key_index])
      set_holder (membership, key_index, NULL, revision);
}

/* The list is sorted by key, so machine records come before owners. The holder keys are applied
 * first nevertheless: a former owner that does not know yet that it lost the shard would otherwise
 * treat its successor's changes of the machine records as unexpected changes of its own records,
 * and delete a machine that it no longer owns. */
static void
on_listed (json_t *items, guint64 revision, gpointer data)
{
  KrMembership *membership = data;
  g_autoptr (GHashTable) nodes = g_hash_table_new (g_str_hash, g_str_equal);
  /* membership->relist_count changes if applying this list requests a new one. */
  guint relist_count = membership->relist_count;
  json_t *entry;
  size_t i;

  kr_info ("state: membership listed, %zu keys, revision %" G_GUINT64_FORMAT,
           json_array_size (items), revision);
  apply_listed_holders (membership, items, revision);
  json_array_foreach (items, i, entry)
  {
    KrKeyValue item;
    if (!kr_wire_key_value_parse (entry, &item) || is_holder_key (item.key))
      continue;
    if (g_str_has_prefix (item.key, "c/node/"))
      g_hash_table_add (nodes, (char *) item.key + strlen ("c/node/"));
    on_watch_event (&item, membership);
  }
  if (!g_hash_table_contains (nodes, membership->settings->node_name))
    membership->presence_current = FALSE;
  g_autoptr (GList) known = g_hash_table_get_keys (membership->present);
  for (GList *l = known; l; l = l->next) {
    g_autofree char *name = g_strdup (l->data);
    if (!g_hash_table_contains (nodes, name))
      apply_presence (membership, name, NULL);
  }
  membership->synced = TRUE;
  membership->lease_abandoned = FALSE;
  if (membership->relist_count == relist_count)
    membership->events.relisted (membership->data);
}

void
kr_membership_relist (KrMembership *membership)
{
  membership->relist_count++;
  kr_watch_relist (membership->watch);
}

/* --- acquiring and releasing holder keys --------------------------------------------- */
static void
key_change_done (guint status, json_t *body, gpointer data)
{
  KeyChange *change = data;
  KrMembership *membership = change->membership;
  KrHolder *holder = &membership->holders[change->key_index];

  holder->txn_in_flight = FALSE;
  if (status == 200 && change->is_release)
    set_holder (membership, change->key_index, NULL, kr_wire_revision (body));
  else if (status == 400)
    membership->lease = 0; /* the lease does not exist; renew_lease() requests a new one */
  g_free (change);
}

/* Writes the holder key if it is still as last seen: free, or held by this or an earlier
 * incarnation of this node. */
static void
acquire (KrMembership *membership, guint key_index)
{
  KrHolder *holder = &membership->holders[key_index];
  guint64 expect = holder->node ? holder->revision : 0;
  g_autofree char *key = holder_key (membership, key_index);
  KrTxn *txn = kr_txn_new ();
  KeyChange *change = g_new (KeyChange, 1);

  *change = (KeyChange){ membership, key_index, FALSE };
  holder->txn_in_flight = TRUE;
  kr_txn_expect_revision (txn, key, expect);
  kr_txn_put (txn, key,
              json_pack ("{ss ss sI}", "Node", membership->settings->node_name, "Inc",
                         membership->incarnation, "From", (json_int_t) expect),
              membership->lease);
  kr_state_commit (membership->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, membership->cancel,
                   key_change_done, change);
}

void
kr_membership_renew_token (KrMembership *membership, guint shard)
{
  if (membership->lease && !membership->holders[shard].txn_in_flight &&
      kr_membership_owns (membership, shard)) {
    kr_info ("shard %u: a machine has seen a higher token, renewing the owner key", shard);
    acquire (membership, shard);
  }
}

void
kr_membership_release (KrMembership *membership, guint shard, guint hold_off_ms)
{
  KrHolder *holder = &membership->holders[shard];
  if (holder->txn_in_flight || !held_by_this_node (membership, holder))
    return;
  g_autofree char *key = holder_key (membership, shard);
  KrTxn *txn = kr_txn_new ();
  KeyChange *change = g_new (KeyChange, 1);

  *change = (KeyChange){ membership, shard, TRUE };
  holder->txn_in_flight = TRUE;
  holder->backoff_until = kr_now () + (gint64) hold_off_ms * 1000;
  kr_txn_expect_revision (txn, key, holder->revision);
  kr_txn_remove (txn, key);
  kr_state_commit (membership->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, membership->cancel,
                   key_change_done, change);
}

static guint
owned_shard_count (KrMembership *membership)
{
  guint count = 0;
  for (guint shard = 0; shard < membership->settings->shard_count; shard++)
    count += kr_membership_owns (membership, shard);
  return count;
}

/* Whether this node should acquire a free key now. A shard's home node does so at once. All others,
 * and all nodes in the case of the leader's key, wait for a time that grows with the number of
 * shards they own, so that nodes rarely race for a key. If they do, one commit wins. */
static gboolean
may_acquire (KrMembership *membership, guint key_index, gint64 now)
{
  KrHolder *holder = &membership->holders[key_index];
  const KrSettings *settings = membership->settings;
  if (now < holder->backoff_until)
    return FALSE;
  if (key_index < settings->shard_count && key_index == settings->self_index)
    return TRUE;
  gint64 wait_ms = KR_NON_HOME_STEP_MS * (gint64) owned_shard_count (membership);
  if (key_index < settings->shard_count)
    wait_ms += KR_NON_HOME_WAIT_MS;
  return now - holder->free_since >= wait_ms * 1000;
}

/* A shard is not handed back while its takeover is in progress here: its home node would have to
 * start the takeover again, with all its waits. After KR_HAND_BACK_MAX_LEASES worker leases it
 * is handed back all the same, since a takeover that does not complete here may complete there. */
static gboolean
may_hand_back (KrMembership *membership, guint shard, gint64 now)
{
  double limit_s = KR_HAND_BACK_MAX_LEASES * membership->settings->worker_lease_s;
  gint64 held_us = now - membership->holders[shard].owned_since;
  return membership->owner_histories[shard].all_fenced ||
         held_us > (gint64) (limit_s * G_USEC_PER_SEC);
}

static gboolean
reconcile (gpointer data)
{
  KrMembership *membership = data;
  const KrSettings *settings = membership->settings;
  gint64 now = kr_now ();

  if (!membership->synced || !membership->lease)
    return G_SOURCE_CONTINUE;
  if (membership->holds_off_home != in_home_hold_off (membership))
    membership->presence_current = FALSE;
  /* The presence also has to be written again if a delayed duplicate of a request of this node's
   * earlier incarnation has overwritten it: that value would expire with the earlier lease. */
  gboolean answered = membership->presence_revision > membership->probe_revision;
  if ((!membership->presence_current || !answered) && now >= membership->next_presence_at)
    put_presence (membership);
  for (guint key_index = 0; key_index <= settings->shard_count; key_index++) {
    KrHolder *holder = &membership->holders[key_index];
    if (holder->txn_in_flight)
      continue;
    if (!holder->node) {
      if (may_acquire (membership, key_index, now))
        acquire (membership, key_index);
    } else if (g_str_equal (holder->node, settings->node_name) &&
               !held_by_this_node (membership, holder)) {
      /* An earlier incarnation of this node holds the key: no other node can have acted as its
       * holder in between. */
      acquire (membership, key_index);
    } else if (key_index < settings->shard_count && held_by_this_node (membership, holder) &&
               key_index != settings->self_index && key_index < settings->node_names->len) {
      const Presence *home =
          g_hash_table_lookup (membership->present, settings->node_names->pdata[key_index]);
      /* The shard is not handed back to a home node that has just handed it over because no
       * machine reported there. It would move back and forth, closed each time, for as long as
       * the home node holds off. */
      if (home && !home->holds_off_home && may_hand_back (membership, key_index, now) &&
          now - MAX (home->since, holder->owned_since) >
              KR_HOME_HEALTHY_MS * G_GINT64_CONSTANT (1000)) {
        kr_info ("shard %u: handing it back to its home node %s", key_index,
                 (char *) settings->node_names->pdata[key_index]);
        kr_membership_release (membership, key_index, KR_HOME_HEALTHY_MS);
      }
    }
  }
  return G_SOURCE_CONTINUE;
}

/* --- lease and presence -------------------------------------------------------------- */
static void
presence_written (guint status, json_t *body, gpointer data)
{
  KrMembership *membership = data;
  if (status == 400)
    membership->lease = 0;
  else if (status == 503)
    membership->next_presence_at = kr_now () + KR_STATE_RETRY_MS * G_GINT64_CONSTANT (1000);
}

static void
put_presence (KrMembership *membership)
{
  membership->next_presence_at = kr_now () + KR_NODE_RENEW_MS * G_GINT64_CONSTANT (1000);
  g_autofree char *key = kr_membership_presence_key (membership->settings->node_name);
  KrTxn *txn = kr_txn_new ();
  membership->holds_off_home = in_home_hold_off (membership);
  kr_txn_put (txn, key,
              json_pack ("{ss sb sI}", "Inc", membership->incarnation, "Away",
                         membership->holds_off_home, "Lease", (json_int_t) membership->lease),
              membership->lease);
  kr_state_commit (membership->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, membership->cancel,
                   presence_written, membership);
}

void
kr_membership_refresh_presence (KrMembership *membership)
{
  if (membership->synced && membership->lease && kr_now () >= membership->next_presence_at)
    put_presence (membership);
}

static void
lease_call_done (guint status, json_t *body, gpointer data)
{
  KrMembership *membership = data;
  membership->lease_call_in_flight = FALSE;
  if (status == 404) {
    kr_info ("state: the lease of this node has expired");
    membership->lease = 0;
  } else if (status == 200 && membership->lease) {
    membership->lease_confirmed_at = membership->renewal_sent;
  } else if (status == 200 && (membership->lease = kr_wire_lease_parse (body))) {
    put_presence (membership);
  }
}

/* A node that cannot read c/ serves none of its shards. It lets its lease expire, so that other
 * nodes can acquire them. */
static gboolean
must_abandon_lease (KrMembership *membership)
{
  double unsynced_s = (double) (kr_now () - membership->unsynced_since) / G_USEC_PER_SEC;
  if (membership->synced || !membership->lease || unsynced_s < KR_OWNERS_UNREAD_MAX_S)
    return FALSE;
  if (!membership->lease_abandoned)
    kr_info ("state: c/ could not be read for %.0f s, letting the valid lease expire", unsynced_s);
  membership->lease_abandoned = TRUE;
  return TRUE;
}

static gboolean
renew_lease (gpointer data)
{
  KrMembership *membership = data;
  if (!membership->lease_call_in_flight && !must_abandon_lease (membership)) {
    membership->lease_call_in_flight = TRUE;
    membership->renewal_sent = kr_now ();
    kr_state_grant_or_renew_lease (membership->state, membership->lease, KR_NODE_LEASE_MS,
                                   membership->cancel, lease_call_done, membership);
  }
  return G_SOURCE_CONTINUE;
}

static char *
incarnation_new (void)
{
  return g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
}

/* A node must not continue from its old state after a process stall: other nodes may have acquired
 * its shards meanwhile, and acted as their owners. The node takes a new incarnation, as a restarted
 * process does. It no longer holds any key; keys that still name it are acquired again, with a
 * higher token. */
static gboolean
on_process_stall (gpointer data)
{
  KrMembership *membership = data;
  g_autofree gboolean *owned = g_new0 (gboolean, membership->settings->shard_count);

  kr_info ("%s: the process was stalled, restarting with a new incarnation",
           membership->settings->node_name);
  for (guint shard = 0; shard < membership->settings->shard_count; shard++)
    owned[shard] = kr_membership_owns (membership, shard);
  g_free (membership->incarnation);
  membership->incarnation = incarnation_new ();
  membership->synced = membership->presence_current = FALSE;
  membership->unsynced_since = kr_now ();
  for (guint shard = 0; shard < membership->settings->shard_count; shard++)
    if (owned[shard])
      membership->events.holder_changed (shard, membership->data);
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
  membership->unsynced_since = kr_now ();
  membership->holders = g_new0 (KrHolder, settings->shard_count + 1);
  for (guint key_index = 0; key_index <= settings->shard_count; key_index++)
    membership->holders[key_index].free_since = kr_now ();
  membership->records = records;
  membership->owner_histories = g_new0 (KrOwnerHistory, settings->shard_count);
  membership->present = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  membership->watch =
      kr_watch_new (state, "c/", membership->cancel, on_listed, on_watch_event, membership);
  kr_watch_relist (membership->watch);
  renew_lease (membership);
  membership->lease_timer = kr_timer_add (KR_NODE_RENEW_MS, renew_lease, membership);
  membership->reconcile_timer = kr_timer_add (KR_RECONCILE_MS, reconcile, membership);
  kr_stall_detector_add (KR_PROCESS_STALL_MS, on_process_stall, membership);
  return membership;
}

void
kr_membership_free (KrMembership *membership)
{
  kr_timer_remove (membership->lease_timer);
  kr_timer_remove (membership->reconcile_timer);
  g_cancellable_cancel (membership->cancel);
  kr_watch_stop (membership->watch);
}
