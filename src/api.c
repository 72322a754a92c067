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

typedef struct {
  KrJobState state;
  guint done;
} Final;

struct KrApi {
  KrNode *node;
  GCancellable *cancel;
  GHashTable *finals; /* id -> Final: immutable once told */
  GQueue order;       /* ids, oldest first */
  guint pending;      /* requests that wait for the state service */
  guint polls;        /* of them */
  guint crowd;        /* polls that wait for a request they share */
  KrJobView *view;
  GHashTable *polled; /* id -> GPtrArray of KrRequest: a poll of it is under way, these come next */
};

/* One user's request on its way. */
typedef struct Visit Visit;
typedef void (*Found) (Visit *v, gboolean known, KrKeyValue *item);
struct Visit {
  KrApi *api;
  KrRequest *request;
  GPtrArray *others; /* polls of the same job that share its answer; NULL: none */
  KrRoute route;
  char *id;
  gint64 deadline;
  Found found;
  gboolean counted;   /* in `pending`: it costs requests of its own */
  gboolean ended_key; /* looking below end/ now */
  guint tries;        /* to have a cancellation committed under, or confirmed by, the owner */
  /* of a job that is cancelled and not over: */
  guint shard, done;
  guint64 owner, revision; /* see kr_shard_cancel_job */
};

KrApi *
kr_api_new (KrNode *node)
{
  KrApi *api = g_new0 (KrApi, 1);
  api->node = node;
  api->cancel = kr_cancellable_new_child (node->cancel);
  api->finals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&api->order);
  api->polled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
remember (KrApi *api, const char *id, KrJobState state, guint done)
{
  if (g_hash_table_contains (api->finals, id))
    return;
  if (api->order.length >= KR_FINAL_CACHE_JOBS) {
    g_autofree char *oldest = g_queue_pop_head (&api->order);
    g_hash_table_remove (api->finals, oldest);
  }
  Final *f = g_new (Final, 1);
  *f = (Final){ state, done };
  g_hash_table_insert (api->finals, g_strdup (id), f);
  g_queue_push_tail (&api->order, g_strdup (id));
}

static Visit *
visit_new (KrApi *api, KrRequest *request, KrRoute route, const char *id, guint ms)
{
  Visit *visit = g_new0 (Visit, 1);
  visit->api = api;
  visit->request = request;
  visit->route = route;
  visit->id = g_strdup (id);
  visit->deadline = kr_now () + (gint64) ms * 1000;
  return visit;
}

/* From here on it costs requests to the state service of its own. */
static void
count (Visit *request)
{
  request->counted = TRUE;
  request->api->pending++;
  request->api->polls += request->route == KR_ROUTE_POLL;
}

static void next_polls (KrApi *api, const char *id);

static void
answer (Visit *request, guint status, json_t *body, guint retry_after_s)
{
  for (guint i = 0; request->others && i < request->others->len; i++)
    kr_request_reply (request->others->pdata[i], status, json_incref (body), retry_after_s);
  kr_request_reply (request->request, status, body, retry_after_s);
  request->api->pending -= request->counted;
  request->api->polls -= request->counted && request->route == KR_ROUTE_POLL;
  if (request->route == KR_ROUTE_POLL)
    next_polls (request->api, request->id);
  g_clear_pointer (&request->others, g_ptr_array_unref);
  g_free (request->id);
  g_free (request);
}

static void
cannot_know (Visit *request)
{
  answer (request, 503, kr_wire_error ("the state service cannot be asked now"), KR_RETRY_AFTER_S);
}

/* The cancellation is committed; the user comes back for the word. */
static void
not_yet (Visit *request)
{
  answer (request, 503, kr_wire_error ("the cancellation is not confirmed yet"), KR_RETRY_AFTER_S);
}

/* Guards against answers from before: of a node that stood still after it had read, while another
 * told a newer state. What is over stays so. */
static gboolean
too_late (Visit *request)
{
  return kr_now () > request->deadline + KR_USER_STALE_MS * G_GINT64_CONSTANT (1000);
}

static guint
left_ms (Visit *request, guint most)
{
  gint64 ms = (request->deadline - kr_now ()) / 1000;
  return (guint) CLAMP (ms, 1, most);
}

/* --- looking a job up: live first, then ended; it only ever moves that way ----------- */
static void look (Visit *request, Found found);
static void look_at_end (Visit *request);

/* However many ask, submissions and cancellations do not wait behind them. */
static KrQueueClass
turn_of (const Visit *request)
{
  return request->route == KR_ROUTE_POLL ? KR_QUEUE_LOW : KR_QUEUE_NORMAL;
}

static void
looked (guint status, json_t *body, gpointer data)
{
  Visit *request = data;
  KrKeyValue item;

  if (too_late (request))
    cannot_know (request);
  else if (status == 200 && kr_wire_key_value_parse (body, &item))
    request->found (request, TRUE, &item);
  else if (status == 404 && !request->ended_key)
    look_at_end (request);
  else if (status == 404)
    request->found (request, TRUE, NULL);
  else
    request->found (request, FALSE, NULL);
}

static void
look_at_end (Visit *request)
{
  g_autofree char *key = kr_job_final_key (request->id);
  request->ended_key = TRUE;
  kr_state_get (request->api->node->state_client, key, turn_of (request),
                left_ms (request, KR_STATE_TIMEOUT_MS), request->api->cancel, looked, request);
}

static void
look (Visit *request, Found found)
{
  g_autofree char *key = kr_job_key (request->id);
  if (!request->counted)
    count (request);
  request->found = found;
  request->ended_key = FALSE;
  kr_state_get (request->api->node->state_client, key, turn_of (request),
                left_ms (request, KR_STATE_TIMEOUT_MS), request->api->cancel, looked, request);
}

/* --- a cancellation is told once the part's owner surely acts on it ------------------ */
/* Guards against tasks that run on: an owner that the state service refuses alone does not see the
 * cancellation there, and when the service is then out for all, nobody can take the part over while
 * its machines go on reporting to it. */
static void confirm (Visit *request);

static gboolean
confirm_again (gpointer data)
{
  confirm (data);
  return G_SOURCE_REMOVE;
}

static gboolean
look_again (gpointer data)
{
  Visit *request = data;
  look (request, request->found);
  return G_SOURCE_REMOVE;
}

static void
try_again (Visit *request, GSourceFunc how)
{
  if (++request->tries >= KR_CANCEL_CONFIRM_TRIES ||
      left_ms (request, KR_CANCEL_CONFIRM_TIMEOUT_MS) <= KR_CANCEL_CONFIRM_RETRY_MS)
    not_yet (request);
  else
    kr_timer_add (KR_CANCEL_CONFIRM_RETRY_MS, how, request);
}

static void
said (Visit *request, KrCancelStatus word)
{
  switch (word) {
  case KR_CANCEL_CONFIRMED:
    remember (request->api, request->id, KR_JOB_CANCELLED, request->done);
    answer (request, 200,
            kr_wire_job_answer (request->id, KR_JOB_CANCELLED, request->route == KR_ROUTE_POLL,
                                request->done, 0),
            0);
    break;
  case KR_CANCEL_PENDING:
    try_again (request, confirm_again);
    break;
  case KR_CANCEL_NO_SUCH_JOB: /* it may have ended meanwhile */
    try_again (request, look_again);
    break;
  case KR_CANCEL_NOT_OWNER:
  case KR_CANCEL_NO_ANSWER:
    not_yet (request);
    break;
  }
}

static void
owner_said (guint status, json_t *body, gpointer data)
{
  said (data, kr_cancel_status_from_http (status));
}

/* The owner that our view names need not be the newest: any that took its key with the revision
 * named in the cancellation, or after it, has what it takes (see kr_shard_cancel_job). */
static void
confirm (Visit *request)
{
  KrNode *node = request->api->node;
  const KrHolder *holder = request->shard < node->settings->shard_count
                               ? kr_membership_holder (node->membership, request->shard)
                               : NULL;
  const KrPeerSettings *peer =
      holder && holder->node ? kr_settings_peer (node->settings, holder->node) : NULL;

  if (holder && node->shards[request->shard])
    said (request, kr_shard_cancel_job (node->shards[request->shard], request->id, request->owner,
                                        request->revision));
  else if (!peer)
    not_yet (request);
  else
    kr_http_client_call (
        node->peer_client, "POST", peer->addr, KR_PEER_CANCELLATIONS,
        kr_cancel_request_new (request->shard, request->id, request->owner, request->revision),
        left_ms (request, KR_CANCEL_CONFIRM_TIMEOUT_MS), request->api->cancel, owner_said, request);
}

/* Tells what is stored of a job. */
static void
answer_job (Visit *request, const KrStoredJob *view_job)
{
  KrJobState state = view_job->state;
  guint done = view_job->done, running = view_job->running;
  if (view_job->cancelled) {
    request->shard = view_job->shard;
    request->owner = view_job->owner;
    request->revision = view_job->revision;
    request->done = done;
    confirm (request);
    return;
  }
  if (state == KR_JOB_DONE || state == KR_JOB_CANCELLED)
    remember (request->api, request->id, state, done);
  else
    for (guint p = 0; p < request->api->node->settings->shard_count; p++)
      if (request->api->node->shards[p] &&
          kr_shard_job_counts (request->api->node->shards[p], request->id, &done, &running))
        state = running ? KR_JOB_RUNNING : KR_JOB_PENDING;
  answer (request, 200,
          kr_wire_job_answer (request->id, state, request->route == KR_ROUTE_POLL, done, running),
          0);
}

static void
answer_value (Visit *request, const KrKeyValue *item)
{
  KrStoredJob j;
  if (kr_stored_job_parse (&j, item))
    answer_job (request, &j);
  else
    cannot_know (request);
}

static gboolean
answer_from_cache (KrApi *api, KrRequest *request, const char *id, gboolean counts)
{
  Final *f = g_hash_table_lookup (api->finals, id);
  if (!f)
    return FALSE;
  kr_request_reply (request, 200, kr_wire_job_answer (id, f->state, counts, f->done, 0), 0);
  return TRUE;
}

static void
refuse (KrRequest *request)
{
  kr_request_reply (request, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
}

/* The stage's buffer is small: beyond it the user is told at once when to come back. Polls have a
 * part of their own, so that a storm of them leaves room for the rest. */
static gboolean
too_busy (KrApi *api, KrRoute route)
{
  /* As many as the state service answers within the time that a user waits. */
  double most = MAX (KR_API_PENDING_MIN, kr_state_request_rate (api->node->state_client) *
                                             KR_USER_READ_DEADLINE_MS / 1000.0);
  return route == KR_ROUTE_POLL ? api->polls >= most * KR_API_POLL_SHARE
                                : api->pending - api->polls >= most;
}

/* --- poll ---------------------------------------------------------------------------- */
static void
poll_found (Visit *request, gboolean known, KrKeyValue *item)
{
  if (!known)
    cannot_know (request);
  else if (!item)
    answer (request, 404, kr_wire_error ("no such job"), 0);
  else
    answer_value (request, item);
}

/* What is not among the live jobs has ended, or never was. */
static void
look_below_end (Visit *request)
{
  if (too_busy (request->api, KR_ROUTE_POLL)) {
    answer (request, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
    return;
  }
  count (request);
  look_at_end (request);
}

static void
view_synced (gboolean known, gpointer data)
{
  Visit *request = data;
  const KrStoredJob *view_job = kr_job_view_find (request->api->view, request->id);
  request->api->crowd--;
  if (!known || too_late (request))
    cannot_know (request);
  else if (view_job)
    answer_job (request, view_job);
  else
    look_below_end (request);
}

/* FALSE: too many wait already. */
static gboolean
start_poll (KrApi *api, KrRequest *request, GPtrArray *others, const char *id)
{
  gboolean alone = api->polls < KR_API_DIRECT_POLLS && api->crowd == 0;
  if (!alone && api->crowd >= KR_API_SHARED_POLLS_MAX)
    return FALSE;
  Visit *visit = visit_new (api, request, KR_ROUTE_POLL, id, KR_USER_READ_DEADLINE_MS);
  visit->others = others;
  visit->found = poll_found;
  g_hash_table_insert (api->polled, g_strdup (id), g_ptr_array_new ());
  if (alone)
    look (visit, poll_found);
  else {
    api->crowd++;
    kr_job_view_sync (api->view, view_synced, visit);
  }
  return TRUE;
}

/* Polls of a job that came while one of it was under way share one read that begins only now: that
 * one began before they came, so what was told meanwhile might not be in it. */
static void
next_polls (KrApi *api, const char *id)
{
  GPtrArray *next = g_hash_table_lookup (api->polled, id);
  g_hash_table_remove (api->polled, id);
  while (next->len && answer_from_cache (api, next->pdata[0], id, TRUE))
    g_ptr_array_remove_index_fast (next, 0);
  KrRequest *first = next->len ? g_ptr_array_steal_index_fast (next, 0) : NULL;
  if (first && start_poll (api, first, next, id))
    return;
  if (first)
    g_ptr_array_add (next, first);
  for (guint i = 0; i < next->len; i++)
    refuse (next->pdata[i]);
  g_ptr_array_unref (next);
}

void
kr_api_poll (KrApi *api, KrRequest *request, const char *id)
{
  GPtrArray *next;
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (answer_from_cache (api, request, id, TRUE))
    return;
  else if ((next = g_hash_table_lookup (api->polled, id)))
    g_ptr_array_add (next, request);
  else if (!start_poll (api, request, NULL, id))
    refuse (request);
}

/* --- submit -------------------------------------------------------------------------- */
static void
submit_found (Visit *request, gboolean known, KrKeyValue *item)
{
  /* Absent after a write with unknown outcome: it may still be applied, so not "no". */
  if (!known || !item)
    cannot_know (request);
  else
    answer_value (request, item);
}

static void
submitted (guint status, json_t *body, gpointer data)
{
  Visit *request = data;
  if (status == 200)
    answer (request, 201, kr_wire_job_answer (request->id, KR_JOB_PENDING, FALSE, 0, 0), 0);
  else if (status == 409 || status == 0)
    look (request, submit_found);
  else
    cannot_know (request);
}

static const char *
never (KrApi *api, const KrJobSpec *spec)
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
  const char *why;
  KrStateClient *state = api->node->state_client;

  if (!spec)
    kr_request_reply (request, 400, kr_wire_error (error->message), 0);
  else if (answer_from_cache (api, request, spec->id, FALSE))
    return;
  else if (!api->node->machine_types)
    kr_request_reply (request, 503, kr_wire_error ("machine types are not yet known"),
                      KR_RETRY_AFTER_S);
  else if ((why = never (api, spec)))
    kr_request_reply (request, 422, kr_wire_error (why), 0);
  else if (too_busy (api, KR_ROUTE_SUBMIT))
    refuse (request);
  else if (kr_state_write_wait (state) > KR_USER_WRITE_WAIT_MAX_S)
    kr_request_reply (request, 429, kr_wire_error ("too many writes"),
                      (guint) ceil (kr_state_write_wait (state)));
  else {
    Visit *visit = visit_new (api, request, KR_ROUTE_SUBMIT, spec->id, KR_USER_WRITE_DEADLINE_MS);
    g_autofree char *key = kr_job_key (spec->id), *end = kr_job_final_key (spec->id);
    KrTxn *txn = kr_txn_new ();
    guint shard = kr_settings_shard_of_team (api->node->settings, spec->team);
    g_autoptr (KrJob) j = kr_job_new (g_steal_pointer (&spec), kr_wall_clock_s (), shard);
    kr_txn_expect_revision (txn, key, 0);
    kr_txn_expect_revision (txn, end, 0);
    kr_txn_put (txn, key, kr_job_encode (j, j->done, 0), 0);
    count (visit);
    kr_state_commit (state, txn, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS, api->cancel, submitted,
                     visit);
  }
}

/* --- abort --------------------------------------------------------------------------- */
static void abort_found (Visit *request, gboolean known, KrKeyValue *item);

static void
aborted (guint status, json_t *body, gpointer data)
{
  Visit *request = data;
  g_autofree char *owner_key = kr_membership_owner_key (request->shard);
  if (status == 200) {
    request->revision = kr_wire_revision (body);
    confirm (request);
  } else if (status == 409 && kr_wire_commit_failed_on (body, owner_key))
    try_again (request, look_again); /* the watch shows the new owner within a round */
  else if ((status == 409 || status == 0) && kr_now () < request->deadline)
    look (request, abort_found);
  else
    cannot_know (request);
}

static void
abort_found (Visit *request, gboolean known, KrKeyValue *item)
{
  KrJobState state;
  guint running;

  if (!known)
    cannot_know (request);
  else if (!item)
    answer (request, 404, kr_wire_error ("no such job"), 0);
  else if (!kr_job_parse_status (item->value, &state, &request->done, &running) ||
           state >= KR_JOB_DONE ||
           (request->shard = kr_job_parse_shard (item->value)) >=
               request->api->node->settings->shard_count)
    answer_value (request, item);
  else {
    /* Under the owner that we are going to ask: whoever comes after it reads the cancellation. */
    const KrHolder *holder = kr_membership_holder (request->api->node->membership, request->shard);
    g_autofree char *key = kr_job_key (request->id),
                    *owner_key = kr_membership_owner_key (request->shard);
    KrTxn *txn = kr_txn_new ();
    request->owner = holder->node ? holder->revision : 0;
    kr_txn_expect_revision (txn, key, item->revision);
    kr_txn_expect_revision (txn, owner_key, request->owner);
    kr_txn_put (txn, key, kr_job_cancel_value (item->value, request->owner), 0);
    kr_state_commit (request->api->node->state_client, txn, KR_QUEUE_HIGH,
                     left_ms (request, KR_STATE_TIMEOUT_MS), request->api->cancel, aborted,
                     request);
  }
}

void
kr_api_abort (KrApi *api, KrRequest *request, const char *id)
{
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (answer_from_cache (api, request, id, FALSE))
    return;
  else if (too_busy (api, KR_ROUTE_ABORT))
    refuse (request);
  else
    look (visit_new (api, request, KR_ROUTE_ABORT, id, KR_USER_WRITE_DEADLINE_MS), abort_found);
}
