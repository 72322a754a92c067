#include "failure-detector.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

/* State of the detector for one peer. */
typedef struct {
  KrDetector *detector;
  const KrPeerSettings *settings;
  gboolean ping_in_flight;
  gboolean silent;         /* the newest ping was not answered */
  gboolean probing;        /* a probe has begun and not ended */
  gboolean call_in_flight; /* a call to the state service for the probe */
  guint64 probe_revision;  /* 0: the probe is not written yet */
  gint64 probe_written_at; /* monotonic us; the probe was stored at this time or before */
  gint64 read_sent_at;     /* monotonic us: when the newest read of the presence was requested */
  /* The number of answered reads that showed no presence newer than the probe. */
  guint stale_reads;
  guint64 lease;        /* the lease that the newest of these reads named; 0: none */
  gint64 next_probe_at; /* monotonic us; no new probe begins before */
} Peer;

struct KrDetector {
  const KrSettings *settings;
  KrStateClient *state;
  KrHttpClient *client;
  KrMembership *membership;
  GCancellable *cancel;
  KrPeerSilenceFunc on_peer_silence;
  gpointer data;
  Peer *peers; /* in the order of settings->peers */
  guint timer;
};

/* --- probes in the state service ------------------------------------------------------- */
static char *
probe_key (const Peer *peer)
{
  return kr_membership_probe_key (peer->settings->name, peer->detector->settings->node_name);
}

static void
ignore_response (guint status, json_t *body, gpointer data)
{
}

/* Ends the probe, and deletes its key if it was written. */
static void
end_probe (Peer *peer)
{
  KrDetector *detector = peer->detector;
  peer->probing = FALSE;
  peer->next_probe_at = kr_now () + KR_PROBE_INTERVAL_MS * G_GINT64_CONSTANT (1000);
  if (!peer->probe_revision)
    return;
  g_autofree char *key = probe_key (peer);
  KrTxn *txn = kr_txn_new ();
  kr_txn_remove (txn, key);
  kr_state_commit (detector->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, detector->cancel,
                   ignore_response, NULL);
}

static void
probe_written (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  peer->call_in_flight = FALSE;
  if (status != 200 || !peer->probing)
    return;
  peer->probe_revision = kr_wire_revision (body);
  peer->probe_written_at = kr_now ();
  peer->stale_reads = 0;
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
  peer->call_in_flight = TRUE;
  kr_state_commit (detector->state, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, detector->cancel,
                   probe_written, peer);
}

static void
lease_revoked (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  peer->call_in_flight = FALSE;
  if (status != 0 && status != 503 && status != 429)
    end_probe (peer);
}

/* The peer counts as dead if, at the newest read, the probe had been without an answer for the
 * length of a node's lease, and the state service has answered at least KR_PROBE_READS reads
 * meanwhile. */
static gboolean
is_dead (const Peer *peer)
{
  gint64 waited_us = peer->read_sent_at - peer->probe_written_at;
  return peer->stale_reads >= KR_PROBE_READS &&
         waited_us >= KR_NODE_LEASE_MS * G_GINT64_CONSTANT (1000);
}

static void
revoke_lease (Peer *peer)
{
  KrDetector *detector = peer->detector;
  kr_info (
      "node %s: answers no ping, nor the probe in the state service for %.1f s: revoking its lease",
      peer->settings->name, (double) (kr_now () - peer->probe_written_at) / G_USEC_PER_SEC);
  peer->call_in_flight = TRUE;
  kr_state_revoke_lease (detector->state, peer->lease, detector->cancel, lease_revoked, peer);
}

static void
presence_read (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  KrKeyValue item;
  peer->call_in_flight = FALSE;
  if (!peer->probing)
    return;
  if (status == 404) { /* its presence key is deleted, so its lease has ended */
    end_probe (peer);
    return;
  }
  if (status != 200 || !kr_wire_key_value_parse (body, &item))
    return;
  if (item.revision > peer->probe_revision) {
    kr_info ("node %s: has answered the probe in the state service", peer->settings->name);
    end_probe (peer);
    return;
  }
  peer->stale_reads++;
  peer->lease = kr_membership_presence_lease (item.value);
  if (!peer->lease) {
    kr_info ("node %s: its presence names no lease, waiting for the lease to expire",
             peer->settings->name);
    end_probe (peer);
  } else if (is_dead (peer))
    revoke_lease (peer);
}

static void
read_presence (Peer *peer)
{
  KrDetector *detector = peer->detector;
  g_autofree char *key = kr_membership_presence_key (peer->settings->name);
  peer->call_in_flight = TRUE;
  peer->read_sent_at = kr_now ();
  kr_state_get (detector->state, key, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, detector->cancel,
                presence_read, peer);
}

static void
begin_probe (Peer *peer)
{
  kr_info ("node %s: answers no ping while the state service is failing, probing it there",
           peer->settings->name);
  peer->probing = TRUE;
  peer->probe_revision = 0;
}

/* Whether the peer answers no ping although its presence key exists, as far as this node knows. */
static gboolean
is_unresponsive (const Peer *peer)
{
  return peer->silent &&
         kr_membership_is_present (peer->detector->membership, peer->settings->name);
}

/* Starts the next step of the peer's probe: begin it, write it, or read the peer's presence. */
static void
advance_probe (Peer *peer)
{
  if (!peer->probing && is_unresponsive (peer) && kr_now () >= peer->next_probe_at)
    begin_probe (peer);
  if (!peer->probing || peer->call_in_flight)
    return;
  if (peer->probe_revision)
    read_presence (peer);
  else
    write_probe (peer);
}

/* --- pings to the peers ---------------------------------------------------------------- */
static void
ping_answered (guint status, json_t *body, gpointer data)
{
  Peer *peer = data;
  json_t *silence_s = json_object_get (body, "Silence");
  peer->ping_in_flight = FALSE;
  peer->silent = status == 0;
  if (status && peer->probing)
    end_probe (peer);
  if (json_is_number (silence_s))
    peer->detector->on_peer_silence (kr_json_number (silence_s), peer->detector->data);
}

static void
ping (Peer *peer)
{
  KrDetector *detector = peer->detector;
  peer->ping_in_flight = TRUE;
  kr_http_client_call (detector->client, "GET", peer->settings->addr, KR_PEER_HEALTH, NULL,
                       KR_PEER_TIMEOUT_MS, detector->cancel, ping_answered, peer);
}

void
kr_detector_tick (KrDetector *detector)
{
  gboolean state_failing =
      kr_state_seconds_since_failure (detector->state) < KR_STATE_FAILING_S ||
      kr_state_seconds_since_answer (detector->state) >= KR_STATE_UNREACHABLE_S;
  for (guint i = 0; i < detector->settings->peers->len; i++) {
    Peer *peer = &detector->peers[i];
    if (state_failing && !peer->ping_in_flight)
      ping (peer);
    if (!state_failing)
      peer->silent = FALSE;
  }
}

static gboolean
check_probes (gpointer data)
{
  KrDetector *detector = data;
  gboolean any_unresponsive = FALSE;
  for (guint i = 0; i < detector->settings->peers->len; i++) {
    any_unresponsive |= is_unresponsive (&detector->peers[i]);
    advance_probe (&detector->peers[i]);
  }
  /* A peer that this node cannot reach may not reach this node either, and therefore probe it. The
   * watch may show such a probe late, so this node writes its presence without waiting for one. */
  if (any_unresponsive)
    kr_membership_refresh_presence (detector->membership);
  return G_SOURCE_CONTINUE;
}

KrDetector *
kr_detector_new (const KrSettings *settings, KrStateClient *state, KrHttpClient *peers,
                 KrMembership *membership, GCancellable *cancel, KrPeerSilenceFunc on_peer_silence,
                 gpointer data)
{
  KrDetector *detector = g_new0 (KrDetector, 1);
  detector->settings = settings;
  detector->state = state;
  detector->client = peers;
  detector->membership = membership;
  detector->cancel = kr_cancellable_new_child (cancel);
  detector->on_peer_silence = on_peer_silence;
  detector->data = data;
  detector->peers = g_new0 (Peer, MAX (1, settings->peers->len));
  for (guint i = 0; i < settings->peers->len; i++)
    detector->peers[i] = (Peer){ .detector = detector, .settings = settings->peers->pdata[i] };
  detector->timer = kr_timer_add (KR_PROBE_CHECK_MS, check_probes, detector);
  return detector;
}

void
kr_detector_free (KrDetector *detector)
{
  kr_timer_clear (&detector->timer);
  g_cancellable_cancel (detector->cancel);
}
