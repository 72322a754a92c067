/* Users' polls: the questions about a job's state. */
#include "api-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

static void
refuse_poll (KrApi *api, KrRequest *request, const char *id)
{
  kr_poll_metrics_note_unanswered (api->metrics, id, KR_UNANSWERED_TOO_MANY);
  kr_api_refuse (request);
}

static void
poll_lookup_done (KrApiCall *call, gboolean known, KrKeyValue *item)
{
  if (!known)
    kr_api_reply_unavailable (call, KR_UNANSWERED_KEY_UNREAD);
  else if (!item)
    kr_api_reply (call, 404, kr_wire_error ("no such job"), 0);
  else
    kr_api_reply_stored (call, item);
}

/* A job that is not live has ended or never existed. */
static void
lookup_ended_job (KrApiCall *call)
{
  if (kr_api_is_overloaded (call->api, KR_ROUTE_POLL)) {
    call->unanswered = KR_UNANSWERED_TOO_MANY;
    kr_api_reply (call, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
    return;
  }
  kr_api_call_count (call);
  kr_api_lookup_final_state (call);
}

static void
view_synced (gboolean known, gpointer data)
{
  KrApiCall *call = data;
  const KrStoredJob *stored_job = kr_job_view_find (call->api->view, call->id);
  call->api->shared_polls--;
  if (!known)
    kr_api_reply_unavailable (call, KR_UNANSWERED_JOBS_UNREAD);
  else if (kr_api_call_is_stale (call))
    kr_api_reply_unavailable (call, KR_UNANSWERED_LATE);
  else if (stored_job)
    kr_api_reply_job (call, stored_job);
  else
    lookup_ended_job (call);
}

/* Returns FALSE if too many polls are waiting. Otherwise takes over the requests. */
static gboolean
start_poll (KrApi *api, KrRequest *request, GPtrArray *duplicate_polls, const char *id)
{
  gboolean direct = api->pending_polls < KR_API_DIRECT_POLLS && api->shared_polls == 0;
  if (!direct && api->shared_polls >= KR_API_SHARED_POLLS_MAX)
    return FALSE;
  KrApiCall *call = kr_api_call_new (api, request, KR_ROUTE_POLL, id, KR_USER_READ_DEADLINE_MS);
  call->duplicate_polls = duplicate_polls;
  call->on_lookup = poll_lookup_done;
  g_hash_table_insert (api->active_polls, g_strdup (id), g_ptr_array_new ());
  if (direct)
    kr_api_lookup_job (call, poll_lookup_done);
  else {
    api->shared_polls++;
    kr_job_view_sync (api->view, view_synced, call);
  }
  return TRUE;
}

/* Starts one read for all polls of a job that arrived while a poll of it was in progress. They
 * cannot use that poll's read: it began before they arrived, so it may miss a state that the users
 * have been told meanwhile. */
void
kr_api_start_next_poll (KrApi *api, const char *id)
{
  GPtrArray *waiting = g_hash_table_lookup (api->active_polls, id);
  g_hash_table_remove (api->active_polls, id);
  while (waiting->len && kr_api_reply_from_cache (api, waiting->pdata[0], id, TRUE))
    g_ptr_array_remove_index_fast (waiting, 0);
  KrRequest *first = waiting->len ? g_ptr_array_steal_index_fast (waiting, 0) : NULL;
  if (first && start_poll (api, first, waiting, id))
    return;
  if (first)
    g_ptr_array_add (waiting, first);
  for (guint i = 0; i < waiting->len; i++)
    refuse_poll (api, waiting->pdata[i], id);
  g_ptr_array_unref (waiting);
}

void
kr_api_poll (KrApi *api, KrRequest *request, const char *id)
{
  GPtrArray *waiting;
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (kr_api_reply_from_cache (api, request, id, TRUE))
    return;
  else if ((waiting = g_hash_table_lookup (api->active_polls, id)))
    g_ptr_array_add (waiting, request);
  else if (!start_poll (api, request, NULL, id))
    refuse_poll (api, request, id);
}

void
kr_api_log_unanswered_polls (KrApi *api)
{
  KrNode *node = api->node;
  KrJobViewStats view = kr_job_view_stats (api->view);
  KrRateLimiterStats limiter = kr_state_request_stats (node->state_client);
  KrHttpServerStats server = kr_http_server_stats (node->public_server);
  guint iteration_ms = kr_longest_iteration_ms ();

  if (!kr_poll_metrics_log (api->metrics))
    return;
  kr_info ("polls: view of %u jobs, %.1f s old, %u waiting; lists started %" G_GUINT64_FORMAT
           ", completed %" G_GUINT64_FORMAT ", pages %" G_GUINT64_FORMAT
           "; updates completed %" G_GUINT64_FORMAT ", failed %" G_GUINT64_FORMAT,
           view.jobs, view.age_s, view.waiting, view.lists_started, view.lists_completed,
           view.pages, view.updates_completed, view.updates_failed);
  kr_info ("polls: state requests %.0f/s, queued %u, low %u, expired %" G_GUINT64_FORMAT
           ", low %" G_GUINT64_FORMAT ", refused %" G_GUINT64_FORMAT
           "; connections %u of %u, accepting paused %.1f s; longest iteration %u ms",
           kr_state_request_rate (node->state_client), limiter.queued, limiter.queued_low,
           limiter.expired, limiter.expired_low, limiter.refused, server.open, server.limit,
           server.accept_paused_s, iteration_ms);
}

json_t *
kr_api_health (KrApi *api)
{
  KrJobViewStats view = kr_job_view_stats (api->view);
  KrRateLimiterStats limiter = kr_state_request_stats (api->node->state_client);
  json_t *health = kr_poll_metrics_to_json (api->metrics);
  const char *id;
  double gap_s = kr_poll_metrics_longest_gap (api->metrics, &id);
  json_t *rest = json_pack (
      "{sf ss* si sf sI sI sI sI}", "LongestGap", gap_s, "LongestGapJob", id, "LiveJobs",
      (int) view.jobs, "ViewAge", view.age_s, "ListsStarted", (json_int_t) view.lists_started,
      "ListsCompleted", (json_int_t) view.lists_completed, "ExpiredReads",
      (json_int_t) limiter.expired, "ExpiredLowReads", (json_int_t) limiter.expired_low);
  json_object_update (health, rest);
  json_decref (rest);
  return health;
}
