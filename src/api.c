#include "api.h"
#include "clock.h"
#include "constants.h"
#include "job.h"
#include "log.h"
#include "shard.h"
#include "placement.h"
#include "job-view.h"
#include <math.h>
#include <string.h>

/* The final state of a job and the number of its completed tasks. */
typedef struct {
  KrJobState state;
  guint done;
} FinalState;

struct KrApi {
  KrNode *node;
  GCancellable *cancel;
  GHashTable *final_cache; /* id -> FinalState, which never changes */
  GQueue final_order;      /* ids in final_cache, oldest first */
  guint pending_calls;     /* calls that make requests of their own to the state service */
  guint pending_polls;     /* the polls among them */
  guint shared_polls;      /* polls that wait for a shared update of the view */
  KrJobView *view;
  /* id of each job with a poll in progress -> GPtrArray of KrRequest: the polls of the same job
   * that arrived since then */
  GHashTable *active_polls;
};

/* A user's request in progress. */
typedef struct ApiCall ApiCall;
/* `known`: the state service has answered. `item`: the stored job, NULL if there is none. */
typedef void (*LookupFunc) (ApiCall *call, gboolean known, KrKeyValue *item);
struct ApiCall {
  KrApi *api;
  KrRequest *request;
  GPtrArray *duplicate_polls; /* KrRequest: polls that get the same answer; NULL: none */
  KrRoute route;
  char *id;
  gint64 deadline; /* monotonic us */
  LookupFunc on_lookup;
  gboolean counted;           /* in pending_calls */
  gboolean reading_final_key; /* the lookup has come to the key below end/ */
  guint confirm_tries;        /* retries of the cancellation or of its confirmation */
  /* Of a job that is cancelled and has not ended; see kr_shard_cancel_job: */
  guint shard, done;
  guint64 owner_revision, cancel_revision;
};

KrApi *
kr_api_new (KrNode *node)
{
  KrApi *api = g_new0 (KrApi, 1);
  api->node = node;
  api->cancel = kr_cancellable_new_child (node->cancel);
  api->final_cache = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&api->final_order);
  api->active_polls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  api->view = kr_job_view_new (node->state_client, api->cancel);
  return api;
}

void
kr_api_free (KrApi *api)
{
  g_cancellable_cancel (api->cancel);
  kr_job_view_free (api->view);
}

static void
cache_final_state (KrApi *api, const char *id, KrJobState state, guint done)
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

static ApiCall *
api_call_new (KrApi *api, KrRequest *request, KrRoute route, const char *id, guint deadline_ms)
{
  ApiCall *call = g_new0 (ApiCall, 1);
  call->api = api;
  call->request = request;
  call->route = route;
  call->id = g_strdup (id);
  call->deadline = kr_now () + (gint64) deadline_ms * 1000;
  return call;
}

/* Counts the call as one that makes requests of its own to the state service. */
static void
count_pending (ApiCall *call)
{
  call->counted = TRUE;
  call->api->pending_calls++;
  call->api->pending_polls += call->route == KR_ROUTE_POLL;
}

static void start_next_poll (KrApi *api, const char *id);

static void
reply (ApiCall *call, guint status, json_t *body, guint retry_after_s)
{
  for (guint i = 0; call->duplicate_polls && i < call->duplicate_polls->len; i++)
    kr_request_reply (call->duplicate_polls->pdata[i], status, json_incref (body), retry_after_s);
  kr_request_reply (call->request, status, body, retry_after_s);
  call->api->pending_calls -= call->counted;
  call->api->pending_polls -= call->counted && call->route == KR_ROUTE_POLL;
  if (call->route == KR_ROUTE_POLL)
    start_next_poll (call->api, call->id);
  g_clear_pointer (&call->duplicate_polls, g_ptr_array_unref);
  g_free (call->id);
  g_free (call);
}

static void
reply_unavailable (ApiCall *call)
{
  reply (call, 503, kr_wire_error ("the state service cannot be asked now"), KR_RETRY_AFTER_S);
}

/* The cancellation is committed, but the owner has not confirmed it. The user asks again later. */
static void
reply_unconfirmed (ApiCall *call)
{
  reply (call, 503, kr_wire_error ("the cancellation is not confirmed yet"), KR_RETRY_AFTER_S);
}

/* Whether the call has exceeded its deadline by more than KR_USER_STALE_MS, so that what it has
 * read must not be given to the user. A process that was stalled after its read would otherwise
 * answer with an older state than another node has answered meanwhile. Answers from the cache of
 * final states need no such check, as these states do not change. */
static gboolean
is_stale (ApiCall *call)
{
  return kr_now () > call->deadline + KR_USER_STALE_MS * G_GINT64_CONSTANT (1000);
}

static guint
remaining_ms (ApiCall *call, guint limit_ms)
{
  gint64 ms = (call->deadline - kr_now ()) / 1000;
  return (guint) CLAMP (ms, 1, limit_ms);
}

/* --- job lookup ---------------------------------------------------------------------- */
/* Reads the live key first and then the final key. A job that moves meanwhile is not missed, since
 * jobs only move from the live key to the final key. */
static void lookup_job (ApiCall *call, LookupFunc on_lookup);
static void lookup_final_state (ApiCall *call);

/* Polls have the lowest class, so that submissions and cancellations never wait behind them. */
static KrQueueClass
queue_class (const ApiCall *call)
{
  return call->route == KR_ROUTE_POLL ? KR_QUEUE_LOW : KR_QUEUE_NORMAL;
}

static void
lookup_done (guint status, json_t *body, gpointer data)
{
  ApiCall *call = data;
  KrKeyValue item;

  if (is_stale (call))
    reply_unavailable (call);
  else if (status == 200 && kr_wire_key_value_parse (body, &item))
    call->on_lookup (call, TRUE, &item);
  else if (status == 404 && !call->reading_final_key)
    lookup_final_state (call);
  else if (status == 404)
    call->on_lookup (call, TRUE, NULL);
  else
    call->on_lookup (call, FALSE, NULL);
}

static void
lookup_final_state (ApiCall *call)
{
  g_autofree char *key = kr_job_final_key (call->id);
  call->reading_final_key = TRUE;
  kr_state_get (call->api->node->state_client, key, queue_class (call),
                remaining_ms (call, KR_STATE_TIMEOUT_MS), call->api->cancel, lookup_done, call);
}

static void
lookup_job (ApiCall *call, LookupFunc on_lookup)
{
  g_autofree char *key = kr_job_key (call->id);
  if (!call->counted)
    count_pending (call);
  call->on_lookup = on_lookup;
  call->reading_final_key = FALSE;
  kr_state_get (call->api->node->state_client, key, queue_class (call),
                remaining_ms (call, KR_STATE_TIMEOUT_MS), call->api->cancel, lookup_done, call);
}

/* --- confirmation of a cancellation by the shard's owner ----------------------------- */
/* Asks the owner whether it acts on the committed cancellation. Without that the tasks could keep
 * running: an owner that alone cannot reach the state service does not see the cancellation there,
 * and when the service then fails for all nodes, no other node can acquire the shard while its
 * machines keep reporting to that owner. */
static void confirm_cancellation (ApiCall *call);

static gboolean
retry_confirmation (gpointer data)
{
  confirm_cancellation (data);
  return G_SOURCE_REMOVE;
}

static gboolean
retry_lookup (gpointer data)
{
  ApiCall *call = data;
  lookup_job (call, call->on_lookup);
  return G_SOURCE_REMOVE;
}

static void
retry_later (ApiCall *call, GSourceFunc retry)
{
  if (++call->confirm_tries >= KR_CANCEL_CONFIRM_TRIES ||
      remaining_ms (call, KR_CANCEL_CONFIRM_TIMEOUT_MS) <= KR_CANCEL_CONFIRM_RETRY_MS)
    reply_unconfirmed (call);
  else
    kr_timer_add (KR_CANCEL_CONFIRM_RETRY_MS, retry, call);
}

static void
handle_cancel_status (ApiCall *call, KrCancelStatus status)
{
  switch (status) {
  case KR_CANCEL_CONFIRMED:
    cache_final_state (call->api, call->id, KR_JOB_CANCELLED, call->done);
    reply (call, 200,
           kr_wire_job_answer (call->id, KR_JOB_CANCELLED, call->route == KR_ROUTE_POLL, call->done,
                               0),
           0);
    break;
  case KR_CANCEL_PENDING:
    retry_later (call, retry_confirmation);
    break;
  case KR_CANCEL_NO_SUCH_JOB: /* the job may have ended meanwhile */
    retry_later (call, retry_lookup);
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
static void
confirm_cancellation (ApiCall *call)
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
        remaining_ms (call, KR_CANCEL_CONFIRM_TIMEOUT_MS), call->api->cancel, owner_answered, call);
}

/* Answers from the stored state of a job. The owner must first confirm the cancellation of a
 * cancelled job. If this node owns the job's shard, the counts in memory are newer than the stored
 * ones and are used instead. */
static void
reply_job (ApiCall *call, const KrStoredJob *stored_job)
{
  KrJobState state = stored_job->state;
  guint done = stored_job->done, running = stored_job->running;
  if (stored_job->cancelled) {
    call->shard = stored_job->shard;
    call->owner_revision = stored_job->owner;
    call->cancel_revision = stored_job->revision;
    call->done = done;
    confirm_cancellation (call);
    return;
  }
  if (state == KR_JOB_DONE || state == KR_JOB_CANCELLED)
    cache_final_state (call->api, call->id, state, done);
  else
    for (guint i = 0; i < call->api->node->settings->shard_count; i++)
      if (call->api->node->shards[i] &&
          kr_shard_job_counts (call->api->node->shards[i], call->id, &done, &running))
        state = running ? KR_JOB_RUNNING : KR_JOB_PENDING;
  reply (call, 200,
         kr_wire_job_answer (call->id, state, call->route == KR_ROUTE_POLL, done, running), 0);
}

static void
reply_stored (ApiCall *call, const KrKeyValue *item)
{
  KrStoredJob stored_job;
  if (kr_stored_job_parse (&stored_job, item))
    reply_job (call, &stored_job);
  else
    reply_unavailable (call);
}

static gboolean
reply_from_cache (KrApi *api, KrRequest *request, const char *id, gboolean with_counts)
{
  FinalState *final_state = g_hash_table_lookup (api->final_cache, id);
  if (!final_state)
    return FALSE;
  kr_request_reply (request, 200,
                    kr_wire_job_answer (id, final_state->state, with_counts, final_state->done, 0),
                    0);
  return TRUE;
}

static void
refuse (KrRequest *request)
{
  kr_request_reply (request, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
}

/* The number of pending calls is limited. Beyond the limit the user is told at once when to try
 * again. Polls are counted separately, so that any number of them leaves room for other calls. */
static gboolean
is_overloaded (KrApi *api, KrRoute route)
{
  /* The number of requests that the state service answers within the time that a user waits. */
  double limit = MAX (KR_API_PENDING_MIN, kr_state_request_rate (api->node->state_client) *
                                              KR_USER_READ_DEADLINE_MS / 1000.0);
  return route == KR_ROUTE_POLL ? api->pending_polls >= limit * KR_API_POLL_SHARE
                                : api->pending_calls - api->pending_polls >= limit;
}

/* --- poll ---------------------------------------------------------------------------- */
static void
poll_lookup_done (ApiCall *call, gboolean known, KrKeyValue *item)
{
  if (!known)
    reply_unavailable (call);
  else if (!item)
    reply (call, 404, kr_wire_error ("no such job"), 0);
  else
    reply_stored (call, item);
}

/* A job that is not live has ended or never existed. */
static void
lookup_ended_job (ApiCall *call)
{
  if (is_overloaded (call->api, KR_ROUTE_POLL)) {
    reply (call, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
    return;
  }
  count_pending (call);
  lookup_final_state (call);
}

static void
view_synced (gboolean known, gpointer data)
{
  ApiCall *call = data;
  const KrStoredJob *stored_job = kr_job_view_find (call->api->view, call->id);
  call->api->shared_polls--;
  if (!known || is_stale (call))
    reply_unavailable (call);
  else if (stored_job)
    reply_job (call, stored_job);
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
  ApiCall *call = api_call_new (api, request, KR_ROUTE_POLL, id, KR_USER_READ_DEADLINE_MS);
  call->duplicate_polls = duplicate_polls;
  call->on_lookup = poll_lookup_done;
  g_hash_table_insert (api->active_polls, g_strdup (id), g_ptr_array_new ());
  if (direct)
    lookup_job (call, poll_lookup_done);
  else {
    api->shared_polls++;
    kr_job_view_sync (api->view, view_synced, call);
  }
  return TRUE;
}

/* Starts one read for all polls of a job that arrived while a poll of it was in progress. They
 * cannot use that poll's read: it began before they arrived, so it may miss a state that the users
 * have been told meanwhile. */
static void
start_next_poll (KrApi *api, const char *id)
{
  GPtrArray *waiting = g_hash_table_lookup (api->active_polls, id);
  g_hash_table_remove (api->active_polls, id);
  while (waiting->len && reply_from_cache (api, waiting->pdata[0], id, TRUE))
    g_ptr_array_remove_index_fast (waiting, 0);
  KrRequest *first = waiting->len ? g_ptr_array_steal_index_fast (waiting, 0) : NULL;
  if (first && start_poll (api, first, waiting, id))
    return;
  if (first)
    g_ptr_array_add (waiting, first);
  for (guint i = 0; i < waiting->len; i++)
    refuse (waiting->pdata[i]);
  g_ptr_array_unref (waiting);
}

void
kr_api_poll (KrApi *api, KrRequest *request, const char *id)
{
  GPtrArray *waiting;
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (reply_from_cache (api, request, id, TRUE))
    return;
  else if ((waiting = g_hash_table_lookup (api->active_polls, id)))
    g_ptr_array_add (waiting, request);
  else if (!start_poll (api, request, NULL, id))
    refuse (request);
}

/* --- submit -------------------------------------------------------------------------- */
static void
submit_lookup_done (ApiCall *call, gboolean known, KrKeyValue *item)
{
  /* The write had an unknown outcome and may still be applied, so a missing key proves nothing. */
  if (!known || !item)
    reply_unavailable (call);
  else
    reply_stored (call, item);
}

static void
submit_committed (guint status, json_t *body, gpointer data)
{
  ApiCall *call = data;
  if (status == 200)
    reply (call, 201, kr_wire_job_answer (call->id, KR_JOB_PENDING, FALSE, 0, 0), 0);
  else if (status == 409 || status == 0)
    lookup_job (call, submit_lookup_done);
  else
    reply_unavailable (call);
}

/* Returns why the job can never run, or NULL. */
static const char *
rejection_reason (KrApi *api, const KrJobSpec *spec)
{
  const KrTeam *team = kr_settings_team (api->node->settings, spec->team);
  gboolean fits = FALSE;
  if (!team)
    return "unknown team";
  for (guint i = 0; i < api->node->machine_types->len; i++)
    fits |= kr_placement_fits_type (spec, api->node->machine_types->pdata[i]);
  if (!fits)
    return "a task fits no allowed machine type";
  if (!kr_placement_job_within_quota (team, spec))
    return "the job needs more than the team's limit";
  return NULL;
}

void
kr_api_submit (KrApi *api, KrRequest *request)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (KrJobSpec) spec = kr_wire_spec_parse (kr_request_json (request), &error);
  const char *reason;
  KrStateClient *state = api->node->state_client;

  if (!spec)
    kr_request_reply (request, 400, kr_wire_error (error->message), 0);
  else if (reply_from_cache (api, request, spec->id, FALSE))
    return;
  else if (!api->node->machine_types)
    kr_request_reply (request, 503, kr_wire_error ("machine types are not yet known"),
                      KR_RETRY_AFTER_S);
  else if ((reason = rejection_reason (api, spec)))
    kr_request_reply (request, 422, kr_wire_error (reason), 0);
  else if (is_overloaded (api, KR_ROUTE_SUBMIT))
    refuse (request);
  else if (kr_state_write_wait (state) > KR_USER_WRITE_WAIT_MAX_S)
    kr_request_reply (request, 429, kr_wire_error ("too many writes"),
                      (guint) ceil (kr_state_write_wait (state)));
  else {
    ApiCall *call =
        api_call_new (api, request, KR_ROUTE_SUBMIT, spec->id, KR_USER_WRITE_DEADLINE_MS);
    g_autofree char *key = kr_job_key (spec->id), *final_key = kr_job_final_key (spec->id);
    KrTxn *txn = kr_txn_new ();
    guint shard = kr_settings_shard_of_team (api->node->settings, spec->team);
    g_autoptr (KrJob) job = kr_job_new (g_steal_pointer (&spec), kr_wall_clock_s (), shard);
    kr_txn_expect_revision (txn, key, 0);
    kr_txn_expect_revision (txn, final_key, 0);
    kr_txn_put (txn, key, kr_job_encode (job, job->done, 0), 0);
    count_pending (call);
    kr_state_commit (state, txn, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS, api->cancel,
                     submit_committed, call);
  }
}

/* --- abort --------------------------------------------------------------------------- */
static void abort_lookup_done (ApiCall *call, gboolean known, KrKeyValue *item);

static void
abort_committed (guint status, json_t *body, gpointer data)
{
  ApiCall *call = data;
  g_autofree char *owner_key = kr_membership_owner_key (call->shard);
  if (status == 200) {
    call->cancel_revision = kr_wire_revision (body);
    confirm_cancellation (call);
  } else if (status == 409 && kr_wire_commit_failed_on (body, owner_key))
    retry_later (call, retry_lookup); /* the watch shows the new owner within a round */
  else if ((status == 409 || status == 0) && kr_now () < call->deadline)
    lookup_job (call, abort_lookup_done);
  else
    reply_unavailable (call);
}

static void
abort_lookup_done (ApiCall *call, gboolean known, KrKeyValue *item)
{
  KrJobState state;
  guint running;

  if (!known)
    reply_unavailable (call);
  else if (!item)
    reply (call, 404, kr_wire_error ("no such job"), 0);
  else if (!kr_job_parse_status (item->value, &state, &call->done, &running) ||
           state >= KR_JOB_DONE ||
           (call->shard = kr_job_parse_shard (item->value)) >=
               call->api->node->settings->shard_count)
    reply_stored (call, item);
  else {
    /* Commits only if the shard still has the owner that is asked next. Later owners read the
     * cancellation when they take over. */
    const KrHolder *holder = kr_membership_holder (call->api->node->membership, call->shard);
    g_autofree char *key = kr_job_key (call->id),
                    *owner_key = kr_membership_owner_key (call->shard);
    KrTxn *txn = kr_txn_new ();
    call->owner_revision = holder->node ? holder->revision : 0;
    kr_txn_expect_revision (txn, key, item->revision);
    kr_txn_expect_revision (txn, owner_key, call->owner_revision);
    kr_txn_put (txn, key, kr_job_cancel_value (item->value, call->owner_revision), 0);
    kr_state_commit (call->api->node->state_client, txn, KR_QUEUE_HIGH,
                     remaining_ms (call, KR_STATE_TIMEOUT_MS), call->api->cancel, abort_committed,
                     call);
  }
}

void
kr_api_abort (KrApi *api, KrRequest *request, const char *id)
{
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (reply_from_cache (api, request, id, FALSE))
    return;
  else if (is_overloaded (api, KR_ROUTE_ABORT))
    refuse (request);
  else
    lookup_job (api_call_new (api, request, KR_ROUTE_ABORT, id, KR_USER_WRITE_DEADLINE_MS),
                abort_lookup_done);
}
