#include "failure-detector.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

/* What is known of one peer. */
typedef struct {
  KrDetector *detector;
  const KrPeerSettings *settings;
  gboolean asked;  /* a ping is under way */
  gboolean silent; /* the newest ping had no answer */
  gboolean probed; /* a probe is under way */
  gboolean busy;   /* a call for the probe is under way */
  guint64 probe;   /* the probe's revision; 0: not written yet */
  gint64 probe_at; /* monotonic us, when it surely stood */
  gint64 read_at;  /* monotonic us, when the newest read was asked for */
  guint reads;     /* answered ones that showed no presence newer than the probe */
  guint64 lease;   /* that the newest of them named; 0: none */
  gint64 next_at;  /* monotonic us: no new probe before */
} Peer;

struct KrDetector {
  const KrSettings *settings;
  KrStateClient *state;
  KrHttpClient *client;
  KrMembership *membership;
  GCancellable *cancel;
  KrPeerSilenceFunc heard;
  gpointer data;
  Peer *peers; /* as settings->others */
  guint timer;
};

/* --- probes ---------------------------------------------------------------------------- */
static char *
probe_key (const Peer *peer)
{
  return kr_membership_probe_key (peer->settings->name, peer->detector->settings->node_name);
}

static void
nothing (guint status, json_t *body, gpointer data)
{
}

static void
end_probe (Peer *peer)
{
  KrDetector *detector = peer->detector;
  peer->probed = FALSE;
  peer->next_at = kr_now () + KR_PROBE_INTERVAL_MS * G_GINT64_CONSTANT (1000);
  if (!peer->probe)
    return;
  g_autofree char *key = probe_key (peer);
  KrTxn *txn = kr_txn_new ();
  kr_txn_remove (txn, key);
  kr_state_commit (detector->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, detector->cancel,
                   nothing, NULL);
}

static void
probe_written (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  peer->busy = FALSE;
  if (status != 200 || !peer->probed)
    return;
  peer->probe = kr_wire_revision (body);
  peer->probe_at = kr_now ();
  peer->reads = 0;
}

static void
write_probe (Peer *peer)
{
  KrDetector *detector = peer->detector;
  guint64 lease = kr_membership_lease (detector->membership);
  if (!lease)
    return;
  g_autofree char *key = probe_key (peer);
  KrTxn *txn = kr_txn_new ();
  kr_txn_put (txn, key, json_object (), lease);
  peer->busy = TRUE;
  kr_state_commit (detector->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, detector->cancel,
                   probe_written, peer);
}

static void
lease_ended (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  peer->busy = FALSE;
  if (status != 0 && status != 503 && status != 429)
    end_probe (peer);
}

/* Long enough without an answer when that was read, while the state service answered often enough.
 */
static gboolean
is_gone (const Peer *peer)
{
  gint64 waited = peer->read_at - peer->probe_at;
  return peer->reads >= KR_PROBE_READS && waited >= KR_NODE_LEASE_MS * G_GINT64_CONSTANT (1000);
}

static void
end_lease (Peer *peer)
{
  KrDetector *detector = peer->detector;
  kr_info ("node %s: answers neither us nor, for %.1f s, in the state service: ending its lease",
           peer->settings->name, (double) (kr_now () - peer->probe_at) / G_USEC_PER_SEC);
  peer->busy = TRUE;
  kr_state_revoke_lease (detector->state, peer->lease, detector->cancel, lease_ended, peer);
}

static void
presence_read (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  KrKeyValue item;
  peer->busy = FALSE;
  if (!peer->probed)
    return;
  if (status == 404) { /* it has no lease any more */
    end_probe (peer);
    return;
  }
  if (status != 200 || !kr_wire_key_value_parse (body, &item))
    return;
  if (item.revision > peer->probe) {
    kr_info ("node %s: answers in the state service", peer->settings->name);
    end_probe (peer);
    return;
  }
  peer->reads++;
  peer->lease = kr_membership_presence_lease (item.value);
  if (!peer->lease) {
    kr_info ("node %s: its presence names no lease, waiting for that to run out",
             peer->settings->name);
    end_probe (peer);
  } else if (is_gone (peer))
    end_lease (peer);
}

static void
read_presence (Peer *peer)
{
  KrDetector *detector = peer->detector;
  g_autofree char *key = kr_membership_presence_key (peer->settings->name);
  peer->busy = TRUE;
  peer->read_at = kr_now ();
  kr_state_get (detector->state, key, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, detector->cancel,
                presence_read, peer);
}

static void
begin_probe (Peer *peer)
{
  kr_info ("node %s: silent beside a failing state service, probing it there",
           peer->settings->name);
  peer->probed = TRUE;
  peer->probe = 0;
}

/* It has keys, as far as we know, and answers no ping. */
static gboolean
is_missed (const Peer *peer)
{
  return peer->silent &&
         kr_membership_is_present (peer->detector->membership, peer->settings->name);
}

static void
go_on (Peer *peer)
{
  if (!peer->probed && is_missed (peer) && kr_now () >= peer->next_at)
    begin_probe (peer);
  if (!peer->probed || peer->busy)
    return;
  if (peer->probe)
    read_presence (peer);
  else
    write_probe (peer);
}

/* --- pings ----------------------------------------------------------------------------- */
static void
ping_answered (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  json_t *silence = json_object_get (body, "Silence");
  peer->asked = FALSE;
  peer->silent = status == 0;
  if (status && peer->probed)
    end_probe (peer);
  if (json_is_number (silence))
    peer->detector->heard (json_number_value (silence), peer->detector->data);
}

static void
ping (Peer *peer)
{
  KrDetector *detector = peer->detector;
  peer->asked = TRUE;
  kr_http_client_call (detector->client, "GET", peer->settings->addr, KR_PEER_HEALTH, NULL,
                       KR_PEER_TIMEOUT_MS, detector->cancel, ping_answered, peer);
}

void
kr_detector_tick (KrDetector *detector)
{
  gboolean failing = kr_state_seconds_since_failure (detector->state) < KR_STATE_FAILING_S ||
                     kr_state_seconds_since_answer (detector->state) >= KR_STATE_UNREACHABLE_S;
  for (guint i = 0; i < detector->settings->peers->len; i++) {
    Peer *peer = &detector->peers[i];
    if (failing && !peer->asked)
      ping (peer);
    if (!failing)
      peer->silent = FALSE;
  }
}

static gboolean
look_at_probes (gpointer data)
{
  KrDetector *detector = data;
  gboolean missed = FALSE;
  for (guint i = 0; i < detector->settings->peers->len; i++) {
    missed |= is_missed (&detector->peers[i]);
    go_on (&detector->peers[i]);
  }
  /* Who does not answer us may not reach us either, and probe us; our watch may be late. */
  if (missed)
    kr_membership_refresh_presence (detector->membership);
  return G_SOURCE_CONTINUE;
}

KrDetector *
kr_detector_new (const KrSettings *settings, KrStateClient *state, KrHttpClient *peers,
                 KrMembership *membership, GCancellable *cancel, KrPeerSilenceFunc heard,
                 gpointer data)
{
  KrDetector *detector = g_new0 (KrDetector, 1);
  detector->settings = settings;
  detector->state = state;
  detector->client = peers;
  detector->membership = membership;
  detector->cancel = kr_cancellable_new_child (cancel);
  detector->heard = heard;
  detector->data = data;
  detector->peers = g_new0 (Peer, MAX (1, settings->peers->len));
  for (guint i = 0; i < settings->peers->len; i++)
    detector->peers[i] = (Peer){ .detector = detector, .settings = settings->peers->pdata[i] };
  detector->timer = kr_timer_add (KR_PROBE_CHECK_MS, look_at_probes, detector);
  return detector;
}

void
kr_detector_free (KrDetector *detector)
{
  kr_timer_clear (&detector->timer);
  g_cancellable_cancel (detector->cancel);
}
