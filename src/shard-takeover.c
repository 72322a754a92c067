/* Takeover of a shard: its machines may obey an earlier owner until each one has been fenced or is
 * gone. */
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "shard-private.h"
#include "provisioner.h"
#include "worker-client.h"

/* --- fencing ------------------------------------------------------------------------- */
/* A machine being fenced: GET /show returns its session, then a command gives it this owner's
 * token. */
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

/* Returns the machine, or NULL if the machine or the shard has gone meanwhile. */
static KrMachine *
machine_to_fence (const Fence *fence)
{
  return fence->shard->closed ? NULL : kr_shard_machine (fence->shard, fence->id);
}

static void
fence_call_done (Fence *fence, gboolean reached)
{
  KrMachine *machine = machine_to_fence (fence);
  fence->shard->fence_calls--;
  if (machine) {
    machine->fencing = FALSE;
    machine->fence_failures += !reached;
    kr_machine_note_call (machine, reached, kr_now ());
  }
  fence_free (fence);
}

static void
on_token_command_response (guint status, KrReport *report, gpointer data)
{
  Fence *fence = data;
  KrMachine *machine = machine_to_fence (fence);
  if (machine && report && (status == 200 || status == 409))
    kr_shard_apply_direct_report (fence->shard, machine, report);
  fence_call_done (fence, report != NULL);
}

static void
on_show_response (guint status, KrReport *report, gpointer data)
{
  Fence *fence = data;
  KrShard *shard = fence->shard;
  KrMachine *machine = machine_to_fence (fence);

  if (!machine || status != 200 || !report || !g_str_equal (report->machine, fence->id)) {
    fence_call_done (fence, FALSE);
    return;
  }
  g_autoptr (KrOrders) none = kr_wire_commands_new (shard->token, report->session);
  kr_worker_send_commands (shard->node->worker_client, machine->endpoint,
                           kr_wire_orders_message (none), shard->cancel, on_token_command_response,
                           fence);
}

static void
start_fencing (KrShard *shard, KrMachine *machine)
{
  Fence *fence = g_new (Fence, 1);
  *fence = (Fence){ kr_shard_ref (shard), g_strdup (machine->id) };
  machine->fencing = TRUE;
  shard->fence_calls++;
  kr_worker_get_report (shard->node->worker_client, machine->endpoint, shard->cancel,
                        on_show_response, fence);
}

gboolean
kr_shard_needs_fence (const KrMachine *machine)
{
  return machine->must_fence && !machine->fenced;
}

/* Whether the machine has reported recently. A report since the takeover is not enough: the machine
 * may have fallen silent right after it. */
static gboolean
reports_recently (KrShard *shard, const KrMachine *machine, gint64 now)
{
  double silent_s = KR_SILENT_REPORT_PERIODS * shard->node->settings->report_interval_s;
  return machine->last_report_at && now - machine->last_report_at <= kr_seconds_to_us (silent_s);
}

/* Returns why a used machine that has not been fenced since the takeover is given up, or NULL if it
 * is not given up yet. The decision counts the calls to it that were sent and not answered, not the
 * progress of the whole takeover. */
static const char *
give_up_reason (KrShard *shard, const KrMachine *machine, guint unreached, guint used, gint64 now)
{
  double age = (double) (now - shard->acquired_at) / G_USEC_PER_SEC;
  if (machine->fence_failures < 1)
    return NULL;
  /* Guards against a machine that reports but receives neither responses nor commands: the shard
   * would stay closed for as long as that lasts. */
  if (reports_recently (shard, machine, now))
    return machine->fence_failures >= KR_FENCE_TRIES && age > shard->node->settings->worker_lease_s
               ? "it reports but does not respond to commands"
               : NULL;
  /* The machine was up, so earlier lists contained it; the newest list, read since the takeover,
   * does not. */
  if (shard->listed_at > shard->acquired_at && !machine->listed)
    return "not reached and no longer listed";
  /* One lost machine must not keep a shard with hundreds of others closed for a whole lease. */
  if (machine->fence_failures >= KR_FENCE_TRIES && unreached <= used / KR_FENCE_FEW_DIVISOR &&
      age > KR_FENCE_FEW_S)
    return "not reached, while most others were";
  if (!shard->only_this_node && machine->fence_failures >= KR_FENCE_TRIES && age > KR_FENCE_GRACE_S)
    return "not reached by the new owner";
  return NULL;
}

static void
fence_machines (KrShard *shard, gint64 now)
{
  const KrSettings *settings = shard->node->settings;
  GHashTableIter it;
  gpointer value;
  guint unreached = 0, used = 0;

  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    const KrMachine *machine = value;
    used += machine->must_fence;
    unreached += kr_shard_needs_fence (machine) && !reports_recently (shard, machine, now);
  }
  /* A call to an unreachable machine stays in flight until its timeout: with a quarter of the
   * machines behind a link that is down, a fixed limit would delay the calls to the last machines
   * by half a minute. */
  guint max_calls = CLAMP (used / KR_FENCE_PARALLEL_DIVISOR, KR_FENCE_PARALLEL_MIN,
                           kr_node_worker_connections (settings));
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    const char *why;
    if (!kr_shard_needs_fence (machine))
      continue;
    /* For longer than a lease, no former owner has answered the machine and this node has not
     * either. Its lease has expired, whether or not the cloud deletes the machine. */
    if (shard->former_stopped_at &&
        kr_lease_expired (MAX (shard->former_stopped_at, machine->lease_renewed_at),
                          kr_membership_lease_confirmed_at (shard->node->membership),
                          settings->worker_lease_s)) {
      kr_info ("machine %s: not reached, but its lease has expired", machine->id);
      kr_machine_remove_attempts (machine, KR_GONE_LEASE_EXPIRED, kr_shard_on_attempt_event, shard);
      machine->must_fence = FALSE;
      continue;
    }
    /* If the cloud refuses the deletion, the machine is called again like the others: it may have
     * recovered. */
    if (machine->deleting)
      continue;
    if ((why = give_up_reason (shard, machine, unreached, used, now)) &&
        kr_shard_delete_machine (shard, machine, why))
      continue;
    /* A machine that this node answers will report the new token without a call. */
    if (!machine->endpoint || machine->fencing || shard->fence_calls >= max_calls ||
        (machine->fence_failures >= KR_FENCE_TRIES && now < machine->next_call_at) ||
        (machine->lease_renewed_at &&
         now - machine->lease_renewed_at < kr_seconds_to_us (2 * settings->report_interval_s)))
      continue;
    start_fencing (shard, machine);
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
  kr_info ("shard %u: open %.1f s after the takeover began", shard->index,
           (double) (kr_now () - shard->acquired_at) / G_USEC_PER_SEC);
  kr_shard_write_record (shard);
  kr_shard_flush_progress (shard);
}

/* --- former owners ------------------------------------------------------------------- */
/* A machine that can be neither fenced nor deleted keeps the shard closed until its lease has
 * certainly expired. Any node that owned the shard since all machines were last fenced may renew
 * that lease, whether it appears alive or dead; each of them is asked to confirm that it answers
 * the machines no more. A node that crashed confirms this after its restart, since its earlier
 * process is over. */
typedef struct {
  KrShard *shard;
  KrFormerOwner *former;
} TakeoverRequest;

static void
former_owner_free (gpointer data)
{
  KrFormerOwner *former = data;
  g_free (former->node);
  g_free (former);
}

/* Notes the time from which on no former owner answers any machine, once all of them have confirmed
 * it. */
static void
check_former_owners (KrShard *shard, gint64 now)
{
  for (guint i = 0; i < shard->former_owners->len; i++)
    if (!((KrFormerOwner *) shard->former_owners->pdata[i])->stopped)
      return;
  shard->former_stopped_at = now;
  kr_shard_write_record (shard);
}

static void
on_former_owner_response (guint status, json_t *body, gpointer data)
{
  TakeoverRequest *request = data;
  KrShard *shard = request->shard;
  KrFormerOwner *former = request->former;
  gint64 now = kr_now ();

  former->request_in_flight = FALSE;
  former->next_request_at = now + KR_TAKEOVER_ASK_INTERVAL_MS * G_GINT64_CONSTANT (1000);
  if (status == 200 && !shard->closed) {
    former->stopped = TRUE;
    kr_info ("shard %u: former owner %s confirmed that it no longer answers the machines",
             shard->index, former->node);
    check_former_owners (shard, now);
  }
  kr_shard_unref (shard);
  g_free (request);
}

static void
ask_former_owners (KrShard *shard, gint64 now)
{
  for (guint i = 0; shard->former_owners && i < shard->former_owners->len; i++) {
    KrFormerOwner *former = shard->former_owners->pdata[i];
    const KrPeerSettings *peer = kr_settings_peer (shard->node->settings, former->node);
    if (former->stopped || former->request_in_flight || now < former->next_request_at || !peer)
      continue;
    TakeoverRequest *request = g_new (TakeoverRequest, 1);
    *request = (TakeoverRequest){ kr_shard_ref (shard), former };
    former->request_in_flight = TRUE;
    kr_http_client_call (shard->node->peer_client, "POST", peer->addr, KR_PEER_TAKEOVERS,
                         json_pack ("{sI ss sI}", "Part", (json_int_t) shard->index, "Owner",
                                    shard->node->settings->node_name, "Token",
                                    (json_int_t) shard->token),
                         KR_PEER_TIMEOUT_MS, shard->cancel, on_former_owner_response, request);
  }
}

guint
kr_takeover_handle_request (KrNode *node, json_t *request)
{
  const char *owner = json_string_value (json_object_get (request, "Owner"));
  json_t *shard = json_object_get (request, "Part"), *token = json_object_get (request, "Token");
  if (!owner || !kr_settings_peer (node->settings, owner) || !json_is_integer (shard) ||
      !json_is_integer (token) || kr_json_uint (token) == 0)
    return 400;
  guint64 index = kr_json_uint (shard);
  if (index >= node->settings->shard_count)
    return 400;
  gboolean stopped =
      kr_membership_observe_owner (node->membership, (guint) index, owner, kr_json_uint (token));
  return stopped && !node->shards[index] ? 200 : 409;
}

/* Reads the former owners from the owner history as the previous owner left it. */
static void
read_former_owners (KrShard *shard)
{
  const KrOwnerHistory *history =
      kr_membership_owner_history (shard->node->membership, shard->index);
  const char *self = shard->node->settings->node_name;
  g_autoptr (GPtrArray) names = kr_owner_history_former_owners (history);

  g_clear_pointer (&shard->former_owners, g_ptr_array_unref);
  if (!names) {
    if (history->revision)
      kr_info ("shard %u: the owner history does not name its former owners", shard->index);
    return;
  }
  shard->former_owners = g_ptr_array_new_with_free_func (former_owner_free);
  shard->only_this_node = TRUE;
  for (guint i = 0; i < names->len; i++) {
    KrFormerOwner *former = g_new0 (KrFormerOwner, 1);
    former->node = g_strdup (names->pdata[i]);
    /* Any earlier process of this node has ended. */
    former->stopped = g_str_equal (former->node, self);
    shard->only_this_node = shard->only_this_node && former->stopped;
    g_ptr_array_add (shard->former_owners, former);
  }
  if (shard->only_this_node)
    shard->former_stopped_at = shard->acquired_at;
}

/* --- steps ---------------------------------------------------------------------------- */
/* A takeover is checked more often than once a tick, since every second that the shard is closed
 * delays all its jobs. It is not checked at each report: with hundreds of machines, each report
 * would cost a walk over all of them. */
static gboolean
takeover_tick (gpointer data)
{
  KrShard *shard = data;
  if (shard->phase == SHARD_FENCING) {
    ask_former_owners (shard, kr_now ());
    fence_machines (shard, kr_now ());
    kr_shard_try_open (shard);
  }
  if (shard->phase != SHARD_OPEN)
    return G_SOURCE_CONTINUE;
  shard->fence_timer = 0;
  return G_SOURCE_REMOVE;
}

static gboolean
relist (gpointer data)
{
  KrShard *shard = data;
  if (!shard->closed)
    kr_membership_relist (shard->node->membership);
  kr_shard_unref (shard);
  return G_SOURCE_REMOVE;
}

static void
on_owner_history_response (guint status, json_t *body, gpointer data)
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
    kr_timer_add (KR_STATE_RETRY_MS, relist, shard);
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

/* The list of c/ began after this node acquired the shard's key. It contains every machine that an
 * earlier owner may have used, since that was durable before the machine's first run order, and an
 * earlier owner's later writes fail. */
void
kr_shard_membership_relisted (KrShard *shard)
{
  const KrOwnerHistory *history =
      kr_membership_owner_history (shard->node->membership, shard->index);
  if (shard->record_loaded || shard->owner_history_write)
    return;
  read_former_owners (shard);
  shard->owner_history_write =
      kr_owner_history_takeover_value (history, shard->node->settings->node_name);
  kr_state_commit (shard->node->state_client,
                   kr_shard_owner_history_txn (shard, shard->owner_history_write), KR_QUEUE_HIGH,
                   KR_STATE_TIMEOUT_MS, shard->cancel, on_owner_history_response,
                   kr_shard_ref (shard));
}

void
kr_takeover_begin (KrShard *shard)
{
  shard->fence_timer = kr_timer_add (KR_FENCE_CHECK_MS, takeover_tick, shard);
}
