/* Taking a part over: its machines may still obey an earlier owner, until each was fenced or is
 * gone. */
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "shard-private.h"
#include "provisioner.h"
#include "worker-client.h"

/* --- fencing ------------------------------------------------------------------------- */
/* A machine that is being fenced: /show tells its session, a command gives it our token. */
typedef struct {
  KrShard *shard;
  char *id;
} Fence;

static void
fence_free (Fence *fence)
{
  kr_shard_unref (fence->shard);
  g_free (fence->id);
  g_free (fence);
}

/* The machine, unless it or the part is gone meanwhile. */
static KrMachine *
fence_machine (const Fence *fence)
{
  return fence->shard->closed ? NULL : kr_shard_machine (fence->shard, fence->id);
}

static void
fence_over (Fence *fence, gboolean reached)
{
  KrMachine *machine = fence_machine (fence);
  fence->shard->fence_calls--;
  if (machine) {
    machine->fencing = FALSE;
    machine->fence_failures += !reached;
    kr_machine_note_call (machine, reached, kr_now ());
  }
  fence_free (fence);
}

static void
commanded (guint status, KrReport *report, gpointer data)
{
  Fence *fence = data;
  KrMachine *machine = fence_machine (fence);
  if (machine && report && (status == 200 || status == 409))
    kr_shard_apply_direct_report (fence->shard, machine, report);
  fence_over (fence, report != NULL);
}

static void
shown (guint status, KrReport *report, gpointer data)
{
  Fence *fence = data;
  KrShard *shard = fence->shard;
  KrMachine *machine = fence_machine (fence);

  if (!machine || status != 200 || !report || !g_str_equal (report->machine, fence->id)) {
    fence_over (fence, FALSE);
    return;
  }
  kr_worker_send_commands (shard->node->worker_client, machine->endpoint,
                           kr_wire_commands_new (shard->token, report->session), shard->cancel,
                           commanded, fence);
}

static void
fence_machine_now (KrShard *shard, KrMachine *machine)
{
  Fence *fence = g_new (Fence, 1);
  *fence = (Fence){ kr_shard_ref (shard), g_strdup (machine->id) };
  machine->fencing = TRUE;
  shard->fence_calls++;
  kr_worker_get_report (shard->node->worker_client, machine->endpoint, shard->cancel, shown, fence);
}

gboolean
kr_shard_needs_fence (const KrMachine *machine)
{
  return machine->must_fence && !machine->fenced;
}

/* Not only once since the takeover: it may have fallen silent right after. */
static gboolean
reports_now (KrShard *shard, const KrMachine *machine, gint64 now)
{
  double silent_s = KR_SILENT_REPORT_PERIODS * shard->node->settings->report_interval_s;
  return machine->last_report_at && now - machine->last_report_at <= kr_seconds_to_us (silent_s);
}

/* Why a used machine that could not be fenced since the takeover is given up; NULL: not yet. What
 * counts is its silence to calls that did go out, not how far we have come. */
static const char *
give_up (KrShard *shard, const KrMachine *machine, guint unreached, guint used, gint64 now)
{
  double age = (double) (now - shard->acquired_at) / G_USEC_PER_SEC;
  if (machine->fence_failures < 1)
    return NULL;
  /* Guards against one that reports, but hears neither answers nor commands: the part would stay
   * closed for as long as that lasts. */
  if (reports_now (shard, machine, now))
    return machine->fence_failures >= KR_FENCE_TRIES && age > shard->node->settings->worker_lease_s
               ? "it reports, but takes no command"
               : NULL;
  /* It was up, so lists showed it; the newest, read since, does not. */
  if (shard->listed_at > shard->acquired_at && !machine->listed)
    return "not reached, and no longer listed";
  /* One lost machine must not keep a part with hundreds of others closed for a whole lease. */
  if (machine->fence_failures >= KR_FENCE_TRIES && unreached <= used / KR_FENCE_FEW_DIVISOR &&
      age > KR_FENCE_FEW_S)
    return "not reached while others were";
  if (!shard->only_this_node && machine->fence_failures >= KR_FENCE_TRIES && age > KR_FENCE_GRACE_S)
    return "not reached by the new owner";
  return NULL;
}

static void
fence (KrShard *shard, gint64 now)
{
  const KrSettings *settings = shard->node->settings;
  GHashTableIter it;
  gpointer value;
  guint unreached = 0, used = 0;

  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    const KrMachine *machine = value;
    used += machine->must_fence;
    unreached += kr_shard_needs_fence (machine) && !reports_now (shard, machine, now);
  }
  /* Unreachable ones hold their places until the time-out: with a quarter of the fleet behind a cut
   * a fixed window would ask the last of them half a minute late. */
  guint window = CLAMP (used / KR_FENCE_PARALLEL_DIVISOR, KR_FENCE_PARALLEL_MIN,
                        kr_node_worker_connections (settings));
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    const char *why;
    if (!kr_shard_needs_fence (machine))
      continue;
    /* Nobody who may obey or answer it does so any more, so its lease is over: also where the cloud
     * does not delete it. */
    if (shard->former_stopped_at &&
        kr_lease_expired (MAX (shard->former_stopped_at, machine->lease_renewed_at),
                          kr_membership_lease_confirmed_at (shard->node->membership),
                          settings->worker_lease_s)) {
      kr_info ("machine %s: not reached, its lease is over", machine->id);
      kr_machine_remove_attempts (machine, KR_GONE_LEASE_EXPIRED, kr_shard_on_attempt_event, shard);
      machine->must_fence = FALSE;
      continue;
    }
    /* While the cloud refuses, it is asked again like the others: it may be well again. */
    if (machine->deleting)
      continue;
    if ((why = give_up (shard, machine, unreached, used, now)) &&
        kr_shard_delete_machine (shard, machine, why))
      continue;
    /* One that we answer will show our token by itself. */
    if (!machine->endpoint || machine->fencing || shard->fence_calls >= window ||
        (machine->fence_failures >= KR_FENCE_TRIES && now < machine->next_call_at) ||
        (machine->lease_renewed_at &&
         now - machine->lease_renewed_at < kr_seconds_to_us (2 * settings->report_interval_s)))
      continue;
    fence_machine_now (shard, machine);
  }
}

void
kr_shard_try_open (KrShard *shard)
{
  GHashTableIter it;
  gpointer value;
  if (shard->phase != SHARD_FENCING)
    return;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value))
    if (kr_shard_needs_fence (value))
      return;
  shard->phase = SHARD_OPEN;
  kr_info ("part %u: open, %.1f s after the takeover", shard->index,
           (double) (kr_now () - shard->acquired_at) / G_USEC_PER_SEC);
  kr_shard_write_record (shard);
  kr_shard_flush_progress (shard);
}

/* --- former owners ------------------------------------------------------------------- */
/* A machine that can be neither fenced nor deleted holds the part closed until its lease is surely
 * over. It may be renewed by whoever owned the part since all machines were fenced, dead or alive;
 * each of them is asked for its word that it answers them no more. A dead one gives it when it is
 * back: its process before is over. */
typedef struct {
  KrShard *shard;
  KrFormerOwner *former;
} Question;

static void
former_owner_free (gpointer data)
{
  KrFormerOwner *former = data;
  g_free (former->node);
  g_free (former);
}

/* From now on none of them answers any machine, if so. */
static void
check_quiet (KrShard *shard, gint64 now)
{
  for (guint i = 0; i < shard->former_owners->len; i++)
    if (!((KrFormerOwner *) shard->former_owners->pdata[i])->stopped)
      return;
  shard->former_stopped_at = now;
  kr_shard_write_record (shard);
}

static void
former_answered (guint status, json_t *body, gpointer data)
{
  Question *question = data;
  KrShard *shard = question->shard;
  KrFormerOwner *former = question->former;
  gint64 now = kr_now ();

  former->request_in_flight = FALSE;
  former->next_request_at = now + KR_TAKEOVER_ASK_INTERVAL_MS * G_GINT64_CONSTANT (1000);
  if (status == 200 && !shard->closed) {
    former->stopped = TRUE;
    kr_info ("part %u: %s answers its machines no more", shard->index, former->node);
    check_quiet (shard, now);
  }
  kr_shard_unref (shard);
  g_free (question);
}

static void
ask_former_owners (KrShard *shard, gint64 now)
{
  for (guint i = 0; shard->former_owners && i < shard->former_owners->len; i++) {
    KrFormerOwner *former = shard->former_owners->pdata[i];
    const KrPeerSettings *peer = kr_settings_peer (shard->node->settings, former->node);
    if (former->stopped || former->request_in_flight || now < former->next_request_at || !peer)
      continue;
    Question *question = g_new (Question, 1);
    *question = (Question){ kr_shard_ref (shard), former };
    former->request_in_flight = TRUE;
    kr_http_client_call (shard->node->peer_client, "POST", peer->addr, KR_PEER_TAKEOVERS,
                         json_pack ("{sI ss sI}", "Part", (json_int_t) shard->index, "Owner",
                                    shard->node->settings->node_name, "Token",
                                    (json_int_t) shard->token),
                         KR_PEER_TIMEOUT_MS, shard->cancel, former_answered, question);
  }
}

guint
kr_takeover_handle_request (KrNode *node, json_t *question)
{
  const char *owner = json_string_value (json_object_get (question, "Owner"));
  json_t *shard = json_object_get (question, "Part"), *token = json_object_get (question, "Token");
  if (!owner || !kr_settings_peer (node->settings, owner) || !json_is_integer (shard) ||
      !json_is_integer (token) || json_integer_value (token) <= 0)
    return 400;
  guint64 index = (guint64) json_integer_value (shard);
  if (index >= node->settings->shard_count)
    return 400;
  gboolean quiet = kr_membership_observe_owner (node->membership, (guint) index, owner,
                                                (guint64) json_integer_value (token));
  return quiet && !node->shards[index] ? 200 : 409;
}

/* Who they are, from the claim as our predecessor left it. */
static void
note_former_owners (KrShard *shard)
{
  const KrOwnerHistory *claim = kr_membership_owner_history (shard->node->membership, shard->index);
  const char *self = shard->node->settings->node_name;
  g_autoptr (GPtrArray) names = kr_owner_history_former_owners (claim);

  g_clear_pointer (&shard->former_owners, g_ptr_array_unref);
  if (!names) {
    if (claim->revision)
      kr_info ("part %u: its claim does not tell who answered its machines", shard->index);
    return;
  }
  shard->former_owners = g_ptr_array_new_with_free_func (former_owner_free);
  shard->only_this_node = TRUE;
  for (guint i = 0; i < names->len; i++) {
    KrFormerOwner *former = g_new0 (KrFormerOwner, 1);
    former->node = g_strdup (names->pdata[i]);
    /* Our own earlier process is over, whichever it was. */
    former->stopped = g_str_equal (former->node, self);
    shard->only_this_node = shard->only_this_node && former->stopped;
    g_ptr_array_add (shard->former_owners, former);
  }
  if (shard->only_this_node)
    shard->former_stopped_at = shard->acquired_at;
}

/* --- its steps ------------------------------------------------------------------------ */
/* Takeovers are worked on more often than a tick: each second closed is a second lost for all. Not
 * at each report: with hundreds of machines that would be a walk over all for each of them. */
static gboolean
fence_tick (gpointer data)
{
  KrShard *shard = data;
  if (shard->phase == SHARD_FENCING) {
    ask_former_owners (shard, kr_now ());
    fence (shard, kr_now ());
    kr_shard_try_open (shard);
  }
  if (shard->phase != SHARD_OPEN)
    return G_SOURCE_CONTINUE;
  shard->fence_timer = 0;
  return G_SOURCE_REMOVE;
}

static gboolean
scan_again (gpointer data)
{
  KrShard *shard = data;
  if (!shard->closed)
    kr_membership_relist (shard->node->membership);
  kr_shard_unref (shard);
  return G_SOURCE_REMOVE;
}

static void
claimed (guint status, json_t *body, gpointer data)
{
  KrShard *shard = data;
  GHashTableIter it;
  gpointer machine;
  json_t *value = g_steal_pointer (&shard->owner_history_write);

  if (status == 200)
    kr_membership_apply_owner_history (shard->node->membership, shard->index, value,
                                       kr_wire_revision (body));
  json_decref (value);
  if (shard->closed) {
    kr_shard_unref (shard);
    return;
  }
  if (status != 200) {
    kr_timer_add (KR_STATE_RETRY_MS, scan_again, shard);
    return;
  }
  shard->record_loaded = TRUE;
  kr_shard_record_changed (shard);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &machine))
    ((KrMachine *) machine)->must_fence = ((KrMachine *) machine)->used;
  kr_watch_relist (shard->node->job_watch);
  if (g_hash_table_size (shard->machines))
    kr_provisioner_request_list (shard->node->provisioner);
  kr_shard_unref (shard);
}

/* The scan began after the key became ours: every machine that an earlier owner may have used is in
 * it, since that was durable before the first run, and an earlier owner's later writes fail. */
void
kr_shard_membership_relisted (KrShard *shard)
{
  const KrOwnerHistory *claim = kr_membership_owner_history (shard->node->membership, shard->index);
  if (shard->record_loaded || shard->owner_history_write)
    return;
  note_former_owners (shard);
  shard->owner_history_write =
      kr_owner_history_takeover_value (claim, shard->node->settings->node_name);
  kr_state_commit (shard->node->state_client,
                   kr_shard_owner_history_txn (shard, shard->owner_history_write), KR_QUEUE_HIGH,
                   KR_STATE_TIMEOUT_MS, shard->cancel, claimed, kr_shard_ref (shard));
}

void
kr_takeover_begin (KrShard *shard)
{
  shard->fence_timer = kr_timer_add (KR_FENCE_CHECK_MS, fence_tick, shard);
}
