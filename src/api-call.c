#include "api-private.h"
#include "clock.h"
#include "constants.h"
#include "job.h"
#include "shard.h"

/* The final state of a job and the number of its completed tasks. */
typedef struct {
  KrJobState state;
  guint done;
} FinalState;

void
kr_api_cache_final_state (KrApi *api, const char *id, KrJobState state, guint done)
{
  if (g_hash_table_contains (api->final_cache, id))
    return;
  if (api->final_order.length >= KR_FINAL_CACHE_JOBS) {
    g_autofree char *oldest = g_queue_pop_head (&api->final_order);
    g_hash_table_remove (api->final_cache, oldest);
  }
  FinalState *final_state = g_new (FinalState, 1);
  *final_state = (FinalState){ state, done };
  g_hash_table_insert (api->final_cache, g_strdup (id), final_state);
  g_queue_push_tail (&api->final_order, g_strdup (id));
}

KrApiCall *
kr_api_call_new (KrApi *api, KrRequest *request, KrRoute route, const char *id, guint deadline_ms)
{
  KrApiCall *call = g_new0 (KrApiCall, 1);
  call->api = api;
  call->request = request;
  call->route = route;
  call->id = g_strdup (id);
  call->arrived_at = kr_now ();
  call->deadline = call->arrived_at + (gint64) deadline_ms * 1000;
  return call;
}

void
kr_api_call_count (KrApiCall *call)
{
  call->counted = TRUE;
  call->api->pending_calls++;
  call->api->pending_polls += call->route == KR_ROUTE_POLL;
}

static void
note_poll_outcome (const KrApiCall *call, KrRequest *request, guint status)
{
  KrPollMetrics *metrics = call->api->metrics;
  double waited_s = (double) (kr_now () - call->arrived_at) / G_USEC_PER_SEC;

  if (kr_request_disconnected (request))
    kr_poll_metrics_note_unanswered (metrics, call->id, KR_UNANSWERED_DISCONNECTED);
  else if (status == 200 || status == 404)
    kr_poll_metrics_note_answered (metrics, call->id, waited_s);
  else
    kr_poll_metrics_note_unanswered (metrics, call->id, call->unanswered);
}

static void
answer_request (const KrApiCall *call, KrRequest *request, guint status, json_t *body,
                guint retry_after_s)
{
  if (call->route == KR_ROUTE_POLL)
    note_poll_outcome (call, request, status);
  kr_request_reply (request, status, body, retry_after_s);
}

void
kr_api_reply (KrApiCall *call, guint status, json_t *body, guint retry_after_s)
{
  for (guint i = 0; call->duplicate_polls && i < call->duplicate_polls->len; i++)
    answer_request (call, call->duplicate_polls->pdata[i], status, json_incref (body),
                    retry_after_s);
  answer_request (call, call->request, status, body, retry_after_s);
  call->api->pending_calls -= call->counted;
  call->api->pending_polls -= call->counted && call->route == KR_ROUTE_POLL;
  if (call->route == KR_ROUTE_POLL)
    kr_api_start_next_poll (call->api, call->id);
  g_clear_pointer (&call->duplicate_polls, g_ptr_array_unref);
  g_free (call->id);
  g_free (call);
}

void
kr_api_reply_unavailable (KrApiCall *call, KrUnansweredCause cause)
{
  call->unanswered = cause;
  kr_api_reply (call, 503, kr_wire_error ("the state service cannot be asked now"),
                KR_RETRY_AFTER_S);
}

/* The cancellation is committed, but the owner has not confirmed it. The user asks again later. */
static void
reply_unconfirmed (KrApiCall *call)
{
  call->unanswered = KR_UNANSWERED_UNCONFIRMED;
  kr_api_reply (call, 503, kr_wire_error ("the cancellation is not confirmed yet"),
                KR_RETRY_AFTER_S);
}

/* Whether the call has exceeded its deadline by more than KR_USER_STALE_MS, so that what it has
 * read must not be given to the user. A process that was stalled after its read would otherwise
 * answer with an older state than another node has answered meanwhile. Answers from the cache of
 * final states need no such check, as these states do not change. */
gboolean
kr_api_call_is_stale (KrApiCall *call)
{
  return kr_now () > call->deadline + KR_USER_STALE_MS * G_GINT64_CONSTANT (1000);
}

guint
kr_api_call_remaining_ms (KrApiCall *call, guint limit_ms)
{
  gint64 ms = (call->deadline - kr_now ()) / 1000;
  return (guint) CLAMP (ms, 1, limit_ms);
}

/* --- job lookup ---------------------------------------------------------------------- */
/* Polls have the lowest class, so that submissions and cancellations never wait behind them. */
static KrQueueClass
queue_class (const KrApiCall *call)
{
  return call->route == KR_ROUTE_POLL ? KR_QUEUE_LOW : KR_QUEUE_NORMAL;
}

static void
lookup_done (guint status, json_t *body, gpointer data)
{
  KrApiCall *call = data;
  KrKeyValue item;

  if (kr_api_call_is_stale (call))
    kr_api_reply_unavailable (call, KR_UNANSWERED_LATE);
  else if (status == 200 && kr_wire_key_value_parse (body, &item))
    call->on_lookup (call, TRUE, &item);
  else if (status == 404 && !call->reading_final_key)
    kr_api_lookup_final_state (call);
  else if (status == 404)
    call->on_lookup (call, TRUE, NULL);
  else
    call->on_lookup (call, FALSE, NULL);
}

void
kr_api_lookup_final_state (KrApiCall *call)
{
  g_autofree char *key = kr_job_final_key (call->id);
  call->reading_final_key = TRUE;
  kr_state_get (call->api->node->state_client, key, queue_class (call),
                kr_api_call_remaining_ms (call, KR_STATE_TIMEOUT_MS), call->api->cancel,
                lookup_done, call);
}

void
kr_api_lookup_job (KrApiCall *call, KrApiLookupFunc on_lookup)
{
  g_autofree char *key = kr_job_key (call->id);
  if (!call->counted)
    kr_api_call_count (call);
  call->on_lookup = on_lookup;
  call->reading_final_key = FALSE;
  kr_state_get (call->api->node->state_client, key, queue_class (call),
                kr_api_call_remaining_ms (call, KR_STATE_TIMEOUT_MS), call->api->cancel,
                lookup_done, call);
}

/* --- confirmation of a cancellation by the shard's owner ----------------------------- */
/* Asks the owner whether it acts on the committed cancellation. Without that the tasks could keep
 * running: an owner that alone cannot reach the state service does not see the cancellation there,
 * and when the service then fails for all nodes, no other node can acquire the shard while its
 * machines keep reporting to that owner. */

static gboolean
retry_confirmation (gpointer data)
{
  kr_api_confirm_cancellation (data);
  return G_SOURCE_REMOVE;
}

gboolean
kr_api_retry_lookup (gpointer data)
{
  KrApiCall *call = data;
  kr_api_lookup_job (call, call->on_lookup);
  return G_SOURCE_REMOVE;
}

void
kr_api_retry_later (KrApiCall *call, GSourceFunc retry)
{
  if (++call->confirm_tries >= KR_CANCEL_CONFIRM_TRIES ||
      kr_api_call_remaining_ms (call, KR_CANCEL_CONFIRM_TIMEOUT_MS) <= KR_CANCEL_CONFIRM_RETRY_MS)
    reply_unconfirmed (call);
  else
    kr_timer_add (KR_CANCEL_CONFIRM_RETRY_MS, retry, call);
}

static void
handle_cancel_status (KrApiCall *call, KrCancelStatus status)
{
  switch (status) {
  case KR_CANCEL_CONFIRMED:
    kr_api_cache_final_state (call->api, call->id, KR_JOB_CANCELLED, call->done);
    kr_api_reply (call, 200,
                  kr_wire_job_answer (call->id, KR_JOB_CANCELLED, call->route == KR_ROUTE_POLL,
                                      call->done, 0),
                  0);
    break;
  case KR_CANCEL_PENDING:
    kr_api_retry_later (call, retry_confirmation);
    break;
  case KR_CANCEL_NO_SUCH_JOB: /* the job may have ended meanwhile */
    kr_api_retry_later (call, kr_api_retry_lookup);
    break;
  case KR_CANCEL_NOT_OWNER:
  case KR_CANCEL_NO_ANSWER:
    reply_unconfirmed (call);
    break;
  }
}

static void
owner_answered (guint status, json_t *body, gpointer data)
{
  handle_cancel_status (data, kr_cancel_status_from_http (status));
}

/* The owner that this node knows of need not be the newest one. Any node that acquired the owner
 * key at the revision named in the cancellation, or later, can confirm it (see
 * kr_shard_cancel_job). */
void
kr_api_confirm_cancellation (KrApiCall *call)
{
  KrNode *node = call->api->node;
  const KrHolder *holder = call->shard < node->settings->shard_count
                               ? kr_membership_holder (node->membership, call->shard)
                               : NULL;
  const KrPeerSettings *peer =
      holder && holder->node ? kr_settings_peer (node->settings, holder->node) : NULL;

  if (holder && node->shards[call->shard])
    handle_cancel_status (call, kr_shard_cancel_job (node->shards[call->shard], call->id,
                                                     call->owner_revision, call->cancel_revision));
  else if (!peer)
    reply_unconfirmed (call);
  else
    kr_http_client_call (
        node->peer_client, "POST", peer->addr, KR_PEER_CANCELLATIONS,
        kr_cancel_request_new (call->shard, call->id, call->owner_revision, call->cancel_revision),
        kr_api_call_remaining_ms (call, KR_CANCEL_CONFIRM_TIMEOUT_MS), call->api->cancel,
        owner_answered, call);
}

void
kr_api_reply_job (KrApiCall *call, const KrStoredJob *stored_job)
{
  KrJobState state = stored_job->state;
  guint done = stored_job->done, running = stored_job->running;
  if (stored_job->cancelled) {
    call->shard = stored_job->shard;
    call->owner_revision = stored_job->owner;
    call->cancel_revision = stored_job->revision;
    call->done = done;
    kr_api_confirm_cancellation (call);
    return;
  }
  if (state == KR_JOB_DONE || state == KR_JOB_CANCELLED)
    kr_api_cache_final_state (call->api, call->id, state, done);
  else
    for (guint i = 0; i < call->api->node->settings->shard_count; i++)
      if (call->api->node->shards[i] &&
          kr_shard_job_counts (call->api->node->shards[i], call->id, &done, &running))
        state = running ? KR_JOB_RUNNING : KR_JOB_PENDING;
  kr_api_reply (call, 200,
                kr_wire_job_answer (call->id, state, call->route == KR_ROUTE_POLL, done, running),
                0);
}

void
kr_api_reply_stored (KrApiCall *call, const KrKeyValue *item)
{
  KrStoredJob stored_job;
  if (kr_stored_job_parse (&stored_job, item))
    kr_api_reply_job (call, &stored_job);
  else
    kr_api_reply_unavailable (call, KR_UNANSWERED_MALFORMED);
}

gboolean
kr_api_reply_from_cache (KrApi *api, KrRequest *request, const char *id, gboolean with_counts)
{
  FinalState *final_state = g_hash_table_lookup (api->final_cache, id);
  if (!final_state)
    return FALSE;
  kr_poll_metrics_note_answered (api->metrics, id, 0);
  kr_request_reply (request, 200,
                    kr_wire_job_answer (id, final_state->state, with_counts, final_state->done, 0),
                    0);
  return TRUE;
}

void
kr_api_refuse (KrRequest *request)
{
  kr_request_reply (request, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
}

gboolean
kr_api_is_overloaded (KrApi *api, KrRoute route)
{
  /* The number of requests that the state service answers within the time that a user waits. */
  double limit = MAX (KR_API_PENDING_MIN, kr_state_request_rate (api->node->state_client) *
                                              KR_USER_READ_DEADLINE_MS / 1000.0);
  return route == KR_ROUTE_POLL ? api->pending_polls >= limit * KR_API_POLL_SHARE
                                : api->pending_calls - api->pending_polls >= limit;
}
