/* Users' polls: the questions about a job's state. */
#include "api-private.h"
#include "constants.h"

static void
poll_lookup_done (KrApiCall *call, gboolean known, KrKeyValue *item)
{
  if (!known)
    kr_api_reply_unavailable (call);
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
  if (!known || kr_api_call_is_stale (call))
    kr_api_reply_unavailable (call);
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
    kr_api_refuse (waiting->pdata[i]);
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
    kr_api_refuse (request);
}
