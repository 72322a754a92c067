#include "membership.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <stdlib.h>
#include <string.h>

struct KrMembership {
  const KrSettings *settings;
  KrState *state;
  GCancellable *cancel;
  KrMembershipEvents events;
  gpointer data;
  char *incarnation;
  KrFollow *follow;
  gboolean seen;
  guint scans;       /* asked for */
  KrHolder *holders; /* size parts, then the leader */
  KrRecords *records;
  KrClaim *claims;     /* size */
  GHashTable *present; /* node -> Present */
  guint64 lease;
  gboolean lease_busy;
  gint64 presence_at; /* monotonic us: our presence is not written again before */
  gboolean away;      /* what our presence says: we keep off our home part */
  gboolean shown;     /* our presence, under this incarnation, is what the watch showed last */
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
kr_membership_owner_key (guint part)
{
  return g_strdup_printf ("c/owner/%u", part);
}

char *
kr_membership_claim_key (guint part)
{
  return g_strdup_printf ("c/claim/%u", part);
}

char *
kr_membership_needs_key (guint part)
{
  return g_strdup_printf ("c/needs/%u", part);
}

static char *
holder_key (KrMembership *m, guint which)
{
  return which == m->settings->size ? g_strdup (KR_LEADER_KEY) : kr_membership_owner_key (which);
}

const KrHolder *
kr_membership_holder (KrMembership *m, guint part)
{
  return &m->holders[part];
}

const KrHolder *
kr_membership_leader (KrMembership *m)
{
  return &m->holders[m->settings->size];
}

const KrClaim *
kr_membership_claim (KrMembership *m, guint part)
{
  return &m->claims[part];
}

json_t *
kr_membership_claim_value (KrMembership *m, gboolean settled)
{
  return json_pack ("{ss sb}", "Holder", m->settings->node_name, "Settled", settled);
}

gboolean
kr_membership_seen (KrMembership *m)
{
  return m->seen;
}

static gboolean
mine (KrMembership *m, const KrHolder *h)
{
  return h->node && g_str_equal (h->node, m->settings->node_name) &&
         g_strcmp0 (h->incarnation, m->incarnation) == 0;
}

gboolean
kr_membership_owns (KrMembership *m, guint part)
{
  return mine (m, &m->holders[part]);
}

static gboolean
keeps_off (KrMembership *m)
{
  return m->settings->self < m->settings->size &&
         kr_now () < m->holders[m->settings->self].keep_off;
}

gint64
kr_membership_proven (KrMembership *m)
{
  return m->proven;
}

gboolean
kr_membership_leads (KrMembership *m)
{
  return mine (m, &m->holders[m->settings->size]);
}

/* --- what the watch shows ------------------------------------------------------------ */
static void
set_holder (KrMembership *m, guint which, json_t *value, guint64 revision)
{
  KrHolder *h = &m->holders[which];
  const char *node = json_string_value (json_object_get (value, "Node"));

  if (value && !node) {
    /* Not "nobody": a key that is there cannot be taken as a free one. */
    kr_info ("state: the key of %s %u is malformed, left as it was known",
             which == m->settings->size ? "leader" : "part", which);
    return;
  }
  if (revision < h->revision || (revision == h->revision && !!node == !!h->node))
    return;
  gboolean before = mine (m, h);
  g_clear_pointer (&h->node, g_free);
  g_clear_pointer (&h->incarnation, g_free);
  h->revision = revision;
  h->from = 0;
  if (node) {
    h->node = g_strdup (node);
    h->incarnation = g_strdup (json_string_value (json_object_get (value, "Inc")));
    h->from = (guint64) json_integer_value (json_object_get (value, "From"));
  } else
    h->free_since = kr_now ();
  if (!before && mine (m, h))
    h->ours_since = kr_now ();
  if (which == m->settings->size)
    kr_info ("leader: %s (token %" G_GUINT64_FORMAT ")", node ? node : "none", revision);
  else {
    kr_info ("part %u: owner %s (token %" G_GUINT64_FORMAT ")", which, node ? node : "none",
             revision);
    m->events.holder_changed (which, m->data);
  }
}

void
kr_membership_note_claim (KrMembership *m, guint part, json_t *value, guint64 revision)
{
  KrClaim *c = &m->claims[part];
  if (revision <= c->revision)
    return;
  g_free (c->holder);
  *c = (KrClaim){ g_strdup (json_string_value (json_object_get (value, "Holder"))),
                  json_is_true (json_object_get (value, "Settled")), revision };
}

/* value: NULL: it is gone. */
static void
note_node (KrMembership *m, const char *name, json_t *value)
{
  Present *there = g_hash_table_lookup (m->present, name);
  if (!value) {
    if (g_hash_table_remove (m->present, name))
      kr_info ("node %s: gone", name);
    return;
  }
  if (!there) {
    there = g_new0 (Present, 1);
    there->since = kr_now ();
    g_hash_table_insert (m->present, g_strdup (name), there);
    kr_info ("node %s: present", name);
  }
  there->away = json_is_true (json_object_get (value, "Away"));
}

static void put_presence (KrMembership *m);

static void
on_event (const KrItem *item, gpointer data)
{
  KrMembership *m = data;
  guint size = m->settings->size;
  const char *k = item->key;

  if (g_str_has_prefix (k, "c/node/")) {
    const char *name = k + strlen ("c/node/");
    note_node (m, name, item->value);
    if (g_str_equal (name, m->settings->node_name))
      m->shown =
          g_strcmp0 (json_string_value (json_object_get (item->value, "Inc")), m->incarnation) == 0;
  } else if (g_str_equal (k, KR_LEADER_KEY))
    set_holder (m, size, item->value, item->revision);
  else if (g_str_has_prefix (k, "c/owner/")) {
    guint p = (guint) atoi (k + strlen ("c/owner/"));
    if (p < size)
      set_holder (m, p, item->value, item->revision);
  } else if (g_str_has_prefix (k, "c/claim/")) {
    guint p = (guint) atoi (k + strlen ("c/claim/"));
    if (p < size && item->value)
      kr_membership_note_claim (m, p, item->value, item->revision);
  } else if (g_str_has_prefix (k, "c/needs/")) {
    guint p = (guint) atoi (k + strlen ("c/needs/"));
    if (p < size && item->value)
      m->events.needs (p, item->value, m->data);
  } else
    kr_records_note (m->records, item);
}

static void
on_scan (json_t *items, guint64 revision, gpointer data)
{
  KrMembership *m = data;
  guint size = m->settings->size;
  g_autofree gboolean *found = g_new0 (gboolean, size + 1);
  g_autoptr (GHashTable) nodes = g_hash_table_new (g_str_hash, g_str_equal);
  guint scans = m->scans; /* what is seen here may make somebody ask for a further one */
  json_t *o;
  size_t i;

  json_array_foreach (items, i, o)
  {
    KrItem item;
    if (!kr_wire_item_parse (o, &item))
      continue;
    if (g_str_has_prefix (item.key, "c/node/"))
      g_hash_table_add (nodes, (char *) item.key + strlen ("c/node/"));
    for (guint p = 0; p <= size; p++) {
      g_autofree char *key = holder_key (m, p);
      if (g_str_equal (key, item.key))
        found[p] = TRUE;
    }
    on_event (&item, m);
  }
  if (!g_hash_table_contains (nodes, m->settings->node_name))
    m->shown = FALSE;
  for (guint p = 0; p <= size; p++)
    if (!found[p])
      set_holder (m, p, NULL, revision);
  g_autoptr (GList) known = g_hash_table_get_keys (m->present);
  for (GList *l = known; l; l = l->next) {
    g_autofree char *name = g_strdup (l->data);
    if (!g_hash_table_contains (nodes, name))
      note_node (m, name, NULL);
  }
  m->seen = TRUE;
  if (m->scans == scans)
    m->events.scanned (m->data);
}

void
kr_membership_rescan (KrMembership *m)
{
  m->scans++;
  kr_follow_rescan (m->follow);
}

/* --- taking and giving --------------------------------------------------------------- */
static void
change_done (guint status, json_t *body, gpointer data)
{
  Change *c = data;
  KrMembership *m = c->m;
  KrHolder *h = &m->holders[c->which];

  h->busy = FALSE;
  if (status == 200 && c->removal)
    set_holder (m, c->which, NULL, kr_wire_revision (body));
  else if (status == 400)
    m->lease = 0; /* no such lease: the duty makes a new one */
  g_free (c);
}

static void
take (KrMembership *m, guint which)
{
  KrHolder *h = &m->holders[which];
  guint64 expect = h->node ? h->revision : 0;
  g_autofree char *key = holder_key (m, which);
  KrTxn *txn = kr_txn_new ();
  Change *c = g_new (Change, 1);

  *c = (Change){ m, which, FALSE };
  h->busy = TRUE;
  kr_txn_when (txn, key, expect);
  kr_txn_put (txn, key,
              json_pack ("{ss ss sI}", "Node", m->settings->node_name, "Inc", m->incarnation,
                         "From", (json_int_t) expect),
              m->lease);
  kr_state_commit (m->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, m->cancel, change_done, c);
}

void
kr_membership_renew_token (KrMembership *m, guint part)
{
  if (m->lease && !m->holders[part].busy && kr_membership_owns (m, part)) {
    kr_info ("part %u: a machine has seen a higher token, renewing ours", part);
    take (m, part);
  }
}

void
kr_membership_release (KrMembership *m, guint part, guint keep_off_ms)
{
  KrHolder *h = &m->holders[part];
  if (h->busy || !mine (m, h))
    return;
  g_autofree char *key = holder_key (m, part);
  KrTxn *txn = kr_txn_new ();
  Change *c = g_new (Change, 1);

  *c = (Change){ m, part, TRUE };
  h->busy = TRUE;
  h->keep_off = kr_now () + (gint64) keep_off_ms * 1000;
  kr_txn_when (txn, key, h->revision);
  kr_txn_remove (txn, key);
  kr_state_commit (m->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, m->cancel, change_done, c);
}

static guint
parts_held (KrMembership *m)
{
  guint n = 0;
  for (guint p = 0; p < m->settings->size; p++)
    n += kr_membership_owns (m, p);
  return n;
}

/* Whether this node should take a free key now: the home node at once, others after a while, the
 * idlest first, so that two nodes rarely race (and if they do, one commit wins). */
static gboolean
due (KrMembership *m, guint which, gint64 now)
{
  KrHolder *h = &m->holders[which];
  const KrSettings *s = m->settings;
  if (now < h->keep_off)
    return FALSE;
  if (which < s->size && which == s->self)
    return TRUE;
  gint64 wait = KR_FOREIGN_STEP_MS * (gint64) parts_held (m);
  if (which < s->size)
    wait += KR_FOREIGN_WAIT_MS;
  return now - h->free_since >= wait * 1000;
}

static gboolean
duty (gpointer data)
{
  KrMembership *m = data;
  const KrSettings *s = m->settings;
  gint64 now = kr_now ();

  if (!m->seen || !m->lease)
    return G_SOURCE_CONTINUE;
  if (m->away != keeps_off (m))
    m->shown = FALSE;
  /* Also where a late copy of our earlier life's request put its presence over ours, to end with
   * its lease. */
  if (!m->shown && now >= m->presence_at)
    put_presence (m);
  for (guint p = 0; p <= s->size; p++) {
    KrHolder *h = &m->holders[p];
    if (h->busy)
      continue;
    if (!h->node) {
      if (due (m, p, now))
        take (m, p);
    } else if (g_str_equal (h->node, s->node_name) && !mine (m, h)) {
      /* Our own earlier life held it: nobody else can have acted in between. */
      take (m, p);
    } else if (p < s->size && mine (m, h) && p != s->self && p < s->names->len) {
      const Present *home = g_hash_table_lookup (m->present, s->names->pdata[p]);
      /* Not to one that has just handed it on for silence: the part would go to and fro, closed
       * each time, for as long as its home keeps off. */
      if (home && !home->away &&
          now - MAX (home->since, h->ours_since) > KR_HOME_HEALTHY_MS * G_GINT64_CONSTANT (1000)) {
        kr_info ("part %u: handing it back to %s", p, (char *) s->names->pdata[p]);
        kr_membership_release (m, p, KR_HOME_HEALTHY_MS);
      }
    }
  }
  return G_SOURCE_CONTINUE;
}

/* --- the lease ----------------------------------------------------------------------- */
static void
node_key_done (guint status, json_t *body, gpointer data)
{
  KrMembership *m = data;
  if (status == 400)
    m->lease = 0;
}

static void
put_presence (KrMembership *m)
{
  m->presence_at = kr_now () + KR_NODE_RENEW_MS * G_GINT64_CONSTANT (1000);
  g_autofree char *key = g_strconcat ("c/node/", m->settings->node_name, NULL);
  KrTxn *txn = kr_txn_new ();
  m->away = keeps_off (m);
  kr_txn_put (txn, key, json_pack ("{ss sb}", "Inc", m->incarnation, "Away", m->away), m->lease);
  kr_state_commit (m->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, m->cancel, node_key_done, m);
}

static void
lease_done (guint status, json_t *body, gpointer data)
{
  KrMembership *m = data;
  m->lease_busy = FALSE;
  if (status == 404) {
    kr_info ("state: our lease is over");
    m->lease = 0;
  } else if (status == 200 && m->lease) {
    m->proven = m->renewal_sent;
  } else if (status == 200 && (m->lease = kr_wire_lease_parse (body))) {
    put_presence (m);
  }
}

static gboolean
renew (gpointer data)
{
  KrMembership *m = data;
  if (!m->lease_busy) {
    m->lease_busy = TRUE;
    m->renewal_sent = kr_now ();
    kr_state_lease (m->state, m->lease, KR_NODE_LEASE_MS, m->cancel, lease_done, m);
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
  KrMembership *m = data;
  g_autofree gboolean *ours = g_new0 (gboolean, m->settings->size);

  kr_info ("%s stood still, and begins anew", m->settings->node_name);
  for (guint p = 0; p < m->settings->size; p++)
    ours[p] = kr_membership_owns (m, p);
  g_free (m->incarnation);
  m->incarnation = incarnation_new ();
  m->seen = m->shown = FALSE;
  for (guint p = 0; p < m->settings->size; p++)
    if (ours[p])
      m->events.holder_changed (p, m->data);
  kr_membership_rescan (m);
  return G_SOURCE_CONTINUE;
}

KrMembership *
kr_membership_new (const KrSettings *settings, KrState *state, KrRecords *records,
                   GCancellable *cancel, const KrMembershipEvents *events, gpointer data)
{
  KrMembership *m = g_new0 (KrMembership, 1);
  m->settings = settings;
  m->state = state;
  m->cancel = kr_cancellable_child (cancel);
  m->events = *events;
  m->data = data;
  m->incarnation = incarnation_new ();
  m->holders = g_new0 (KrHolder, settings->size + 1);
  for (guint p = 0; p <= settings->size; p++)
    m->holders[p].free_since = kr_now ();
  m->records = records;
  m->claims = g_new0 (KrClaim, settings->size);
  m->present = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->follow = kr_follow_new (state, "c/", m->cancel, on_scan, on_event, m);
  kr_follow_rescan (m->follow);
  renew (m);
  m->lease_timer = kr_timer_add (KR_NODE_RENEW_MS, renew, m);
  m->duty_timer = kr_timer_add (KR_DUTY_MS, duty, m);
  kr_stall_watch (KR_STALL_MS, stood_still, m);
  return m;
}

void
kr_membership_free (KrMembership *m)
{
  kr_timer_remove (m->lease_timer);
  kr_timer_remove (m->duty_timer);
  g_cancellable_cancel (m->cancel);
  kr_follow_stop (m->follow);
}
