#include "api.h"
#include "clock.h"
#include "constants.h"
#include "ledger.h"
#include "log.h"
#include "part.h"
#include "place.h"
#include "view.h"
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
  KrView *view;
  GHashTable *polled; /* id -> GPtrArray of KrRequest: a poll of it is under way, these come next */
};

/* One user's request on its way. */
typedef struct Visit Visit;
typedef void (*Found) (Visit *v, gboolean known, KrItem *item);
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
  guint part, done;
  guint64 owner, revision; /* see kr_part_cancel */
};

KrApi *
kr_api_new (KrNode *node)
{
  KrApi *a = g_new0 (KrApi, 1);
  a->node = node;
  a->cancel = kr_cancellable_child (node->cancel);
  a->finals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&a->order);
  a->polled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  a->view = kr_view_new (node->state, a->cancel);
  return a;
}

void
kr_api_free (KrApi *a)
{
  g_cancellable_cancel (a->cancel);
  kr_view_free (a->view);
}

static void
remember (KrApi *a, const char *id, KrJobState state, guint done)
{
  if (g_hash_table_contains (a->finals, id))
    return;
  if (a->order.length >= KR_FINAL_CACHE) {
    g_autofree char *oldest = g_queue_pop_head (&a->order);
    g_hash_table_remove (a->finals, oldest);
  }
  Final *f = g_new (Final, 1);
  *f = (Final){ state, done };
  g_hash_table_insert (a->finals, g_strdup (id), f);
  g_queue_push_tail (&a->order, g_strdup (id));
}

static Visit *
visit_new (KrApi *a, KrRequest *request, KrRoute route, const char *id, guint ms)
{
  Visit *v = g_new0 (Visit, 1);
  v->api = a;
  v->request = request;
  v->route = route;
  v->id = g_strdup (id);
  v->deadline = kr_now () + (gint64) ms * 1000;
  return v;
}

/* From here on it costs requests to the state service of its own. */
static void
count (Visit *v)
{
  v->counted = TRUE;
  v->api->pending++;
  v->api->polls += v->route == KR_ROUTE_POLL;
}

static void next_polls (KrApi *a, const char *id);

static void
answer (Visit *v, guint status, json_t *body, guint retry_after_s)
{
  for (guint i = 0; v->others && i < v->others->len; i++)
    kr_request_reply (v->others->pdata[i], status, json_incref (body), retry_after_s);
  kr_request_reply (v->request, status, body, retry_after_s);
  v->api->pending -= v->counted;
  v->api->polls -= v->counted && v->route == KR_ROUTE_POLL;
  if (v->route == KR_ROUTE_POLL)
    next_polls (v->api, v->id);
  g_clear_pointer (&v->others, g_ptr_array_unref);
  g_free (v->id);
  g_free (v);
}

static void
cannot_know (Visit *v)
{
  answer (v, 503, kr_wire_error ("the state service cannot be asked now"), KR_RETRY_AFTER_S);
}

/* The cancellation is committed; the user comes back for the word. */
static void
not_yet (Visit *v)
{
  answer (v, 503, kr_wire_error ("the cancellation is not confirmed yet"), KR_RETRY_AFTER_S);
}

/* Guards against answers from before: of a node that stood still after it had read, while another
 * told a newer state. What is over stays so. */
static gboolean
too_late (Visit *v)
{
  return kr_now () > v->deadline + KR_USER_LATE_MS * G_GINT64_CONSTANT (1000);
}

static guint
left_ms (Visit *v, guint most)
{
  gint64 ms = (v->deadline - kr_now ()) / 1000;
  return (guint) CLAMP (ms, 1, most);
}

/* --- looking a job up: live first, then ended; it only ever moves that way ----------- */
static void look (Visit *v, Found found);
static void look_at_end (Visit *v);

/* However many ask, submissions and cancellations do not wait behind them. */
static KrTurn
turn_of (const Visit *v)
{
  return v->route == KR_ROUTE_POLL ? KR_LAST : KR_NORMAL;
}

static void
looked (guint status, json_t *body, gpointer data)
{
  Visit *v = data;
  KrItem item;

  if (too_late (v))
    cannot_know (v);
  else if (status == 200 && kr_wire_item_parse (body, &item))
    v->found (v, TRUE, &item);
  else if (status == 404 && !v->ended_key)
    look_at_end (v);
  else if (status == 404)
    v->found (v, TRUE, NULL);
  else
    v->found (v, FALSE, NULL);
}

static void
look_at_end (Visit *v)
{
  g_autofree char *key = kr_job_end_key (v->id);
  v->ended_key = TRUE;
  kr_state_get (v->api->node->state, key, turn_of (v), left_ms (v, KR_STATE_TIMEOUT_MS),
                v->api->cancel, looked, v);
}

static void
look (Visit *v, Found found)
{
  g_autofree char *key = kr_job_key (v->id);
  if (!v->counted)
    count (v);
  v->found = found;
  v->ended_key = FALSE;
  kr_state_get (v->api->node->state, key, turn_of (v), left_ms (v, KR_STATE_TIMEOUT_MS),
                v->api->cancel, looked, v);
}

/* --- a cancellation is told once the part's owner surely acts on it ------------------ */
/* Guards against tasks that run on: an owner that the state service refuses alone does not see the
 * cancellation there, and when the service is then out for all, nobody can take the part over while
 * its machines go on reporting to it. */
static void confirm (Visit *v);

static gboolean
confirm_again (gpointer data)
{
  confirm (data);
  return G_SOURCE_REMOVE;
}

static gboolean
look_again (gpointer data)
{
  Visit *v = data;
  look (v, v->found);
  return G_SOURCE_REMOVE;
}

static void
try_again (Visit *v, GSourceFunc how)
{
  if (++v->tries >= KR_CONFIRM_TRIES || left_ms (v, KR_CONFIRM_TIMEOUT_MS) <= KR_CONFIRM_PAUSE_MS)
    not_yet (v);
  else
    kr_timer_add (KR_CONFIRM_PAUSE_MS, how, v);
}

static void
said (Visit *v, KrCancelWord word)
{
  switch (word) {
  case KR_CANCEL_SURE:
    remember (v->api, v->id, KR_JOB_CANCELLED, v->done);
    answer (v, 200,
            kr_wire_job_answer (v->id, KR_JOB_CANCELLED, v->route == KR_ROUTE_POLL, v->done, 0), 0);
    break;
  case KR_CANCEL_SOON:
    try_again (v, confirm_again);
    break;
  case KR_CANCEL_UNKNOWN: /* it may have ended meanwhile */
    try_again (v, look_again);
    break;
  case KR_CANCEL_NOT_OWNER:
  case KR_CANCEL_SILENT:
    not_yet (v);
    break;
  }
}

static void
owner_said (guint status, json_t *body, gpointer data)
{
  said (data, kr_cancel_word (status));
}

/* The owner that our view names need not be the newest: any that took its key with the revision
 * named in the cancellation, or after it, has what it takes (see kr_part_cancel). */
static void
confirm (Visit *v)
{
  KrNode *n = v->api->node;
  const KrHolder *h =
      v->part < n->settings->size ? kr_membership_holder (n->membership, v->part) : NULL;
  const KrPeerSettings *peer = h && h->node ? kr_settings_peer (n->settings, h->node) : NULL;

  if (h && n->parts[v->part])
    said (v, kr_part_cancel (n->parts[v->part], v->id, v->owner, v->revision));
  else if (!peer)
    not_yet (v);
  else
    kr_client_call (n->peers, "POST", peer->addr, KR_PEER_CANCELLATIONS,
                    kr_cancel_question (v->part, v->id, v->owner, v->revision),
                    left_ms (v, KR_CONFIRM_TIMEOUT_MS), v->api->cancel, owner_said, v);
}

/* Tells what is stored of a job. */
static void
answer_job (Visit *v, const KrViewJob *j)
{
  KrJobState state = j->state;
  guint done = j->done, running = j->running;
  if (j->cancelled) {
    v->part = j->part;
    v->owner = j->owner;
    v->revision = j->revision;
    v->done = done;
    confirm (v);
    return;
  }
  if (state == KR_JOB_DONE || state == KR_JOB_CANCELLED)
    remember (v->api, v->id, state, done);
  else
    for (guint p = 0; p < v->api->node->settings->size; p++)
      if (v->api->node->parts[p] && kr_part_counts (v->api->node->parts[p], v->id, &done, &running))
        state = running ? KR_JOB_RUNNING : KR_JOB_PENDING;
  answer (v, 200, kr_wire_job_answer (v->id, state, v->route == KR_ROUTE_POLL, done, running), 0);
}

static void
answer_value (Visit *v, const KrItem *item)
{
  KrViewJob j;
  if (kr_view_job_parse (&j, item))
    answer_job (v, &j);
  else
    cannot_know (v);
}

static gboolean
answer_from_cache (KrApi *a, KrRequest *request, const char *id, gboolean counts)
{
  Final *f = g_hash_table_lookup (a->finals, id);
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
too_busy (KrApi *a, KrRoute route)
{
  /* As many as the state service answers within the time that a user waits. */
  double most =
      MAX (KR_API_PENDING_MIN, kr_state_request_rate (a->node->state) * KR_USER_READ_MS / 1000.0);
  return route == KR_ROUTE_POLL ? a->polls >= most * KR_API_POLL_SHARE
                                : a->pending - a->polls >= most;
}

/* --- poll ---------------------------------------------------------------------------- */
static void
poll_found (Visit *v, gboolean known, KrItem *item)
{
  if (!known)
    cannot_know (v);
  else if (!item)
    answer (v, 404, kr_wire_error ("no such job"), 0);
  else
    answer_value (v, item);
}

/* What is not among the live jobs has ended, or never was. */
static void
look_below_end (Visit *v)
{
  if (too_busy (v->api, KR_ROUTE_POLL)) {
    answer (v, 429, kr_wire_error ("too many requests"), KR_RETRY_AFTER_S);
    return;
  }
  count (v);
  look_at_end (v);
}

static void
view_synced (gboolean known, gpointer data)
{
  Visit *v = data;
  const KrViewJob *j = kr_view_find (v->api->view, v->id);
  v->api->crowd--;
  if (!known || too_late (v))
    cannot_know (v);
  else if (j)
    answer_job (v, j);
  else
    look_below_end (v);
}

/* FALSE: too many wait already. */
static gboolean
start_poll (KrApi *a, KrRequest *request, GPtrArray *others, const char *id)
{
  gboolean alone = a->polls < KR_API_CROWD && a->crowd == 0;
  if (!alone && a->crowd >= KR_API_CROWD_MAX)
    return FALSE;
  Visit *v = visit_new (a, request, KR_ROUTE_POLL, id, KR_USER_READ_MS);
  v->others = others;
  v->found = poll_found;
  g_hash_table_insert (a->polled, g_strdup (id), g_ptr_array_new ());
  if (alone)
    look (v, poll_found);
  else {
    a->crowd++;
    kr_view_sync (a->view, view_synced, v);
  }
  return TRUE;
}

/* Polls of a job that came while one of it was under way share one read that begins only now: that
 * one began before they came, so what was told meanwhile might not be in it. */
static void
next_polls (KrApi *a, const char *id)
{
  GPtrArray *next = g_hash_table_lookup (a->polled, id);
  g_hash_table_remove (a->polled, id);
  while (next->len && answer_from_cache (a, next->pdata[0], id, TRUE))
    g_ptr_array_remove_index_fast (next, 0);
  KrRequest *first = next->len ? g_ptr_array_steal_index_fast (next, 0) : NULL;
  if (first && start_poll (a, first, next, id))
    return;
  if (first)
    g_ptr_array_add (next, first);
  for (guint i = 0; i < next->len; i++)
    refuse (next->pdata[i]);
  g_ptr_array_unref (next);
}

void
kr_api_poll (KrApi *a, KrRequest *request, const char *id)
{
  GPtrArray *next;
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (answer_from_cache (a, request, id, TRUE))
    return;
  else if ((next = g_hash_table_lookup (a->polled, id)))
    g_ptr_array_add (next, request);
  else if (!start_poll (a, request, NULL, id))
    refuse (request);
}

/* --- submit -------------------------------------------------------------------------- */
static void
submit_found (Visit *v, gboolean known, KrItem *item)
{
  /* Absent after a write with unknown outcome: it may still be applied, so not "no". */
  if (!known || !item)
    cannot_know (v);
  else
    answer_value (v, item);
}

static void
submitted (guint status, json_t *body, gpointer data)
{
  Visit *v = data;
  if (status == 200)
    answer (v, 201, kr_wire_job_answer (v->id, KR_JOB_PENDING, FALSE, 0, 0), 0);
  else if (status == 409 || status == 0)
    look (v, submit_found);
  else
    cannot_know (v);
}

static const char *
never (KrApi *a, const KrSpec *s)
{
  const KrTeam *team = kr_settings_team (a->node->settings, s->team);
  gboolean fits = FALSE;
  if (!team)
    return "unknown team";
  for (guint i = 0; i < a->node->types->len; i++)
    fits |= kr_place_fits_type (s, a->node->types->pdata[i]);
  if (!fits)
    return "a task fits no allowed machine type";
  if (!kr_place_job_ok (team, s))
    return "the job needs more than the team's limit";
  return NULL;
}

void
kr_api_submit (KrApi *a, KrRequest *request)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (KrSpec) spec = kr_wire_spec_parse (kr_request_json (request), &error);
  const char *why;
  KrState *state = a->node->state;

  if (!spec)
    kr_request_reply (request, 400, kr_wire_error (error->message), 0);
  else if (answer_from_cache (a, request, spec->id, FALSE))
    return;
  else if (!a->node->types)
    kr_request_reply (request, 503, kr_wire_error ("machine types are not yet known"),
                      KR_RETRY_AFTER_S);
  else if ((why = never (a, spec)))
    kr_request_reply (request, 422, kr_wire_error (why), 0);
  else if (too_busy (a, KR_ROUTE_SUBMIT))
    refuse (request);
  else if (kr_state_write_wait (state) > KR_USER_WAIT_S)
    kr_request_reply (request, 429, kr_wire_error ("too many writes"),
                      (guint) ceil (kr_state_write_wait (state)));
  else {
    Visit *v = visit_new (a, request, KR_ROUTE_SUBMIT, spec->id, KR_USER_WRITE_MS);
    g_autofree char *key = kr_job_key (spec->id), *end = kr_job_end_key (spec->id);
    KrTxn *txn = kr_txn_new ();
    guint part = kr_settings_part_of_team (a->node->settings, spec->team);
    g_autoptr (KrJob) j = kr_job_new (g_steal_pointer (&spec), kr_time_of_day (), part);
    kr_txn_when (txn, key, 0);
    kr_txn_when (txn, end, 0);
    kr_txn_put (txn, key, kr_job_encode (j, j->done, 0), 0);
    count (v);
    kr_state_commit (state, txn, KR_NORMAL, KR_STATE_TIMEOUT_MS, a->cancel, submitted, v);
  }
}

/* --- abort --------------------------------------------------------------------------- */
static void abort_found (Visit *v, gboolean known, KrItem *item);

static void
aborted (guint status, json_t *body, gpointer data)
{
  Visit *v = data;
  g_autofree char *owner_key = kr_membership_owner_key (v->part);
  if (status == 200) {
    v->revision = kr_wire_revision (body);
    confirm (v);
  } else if (status == 409 && kr_wire_failed_has (body, owner_key))
    try_again (v, look_again); /* the watch shows the new owner within a round */
  else if ((status == 409 || status == 0) && kr_now () < v->deadline)
    look (v, abort_found);
  else
    cannot_know (v);
}

static void
abort_found (Visit *v, gboolean known, KrItem *item)
{
  KrJobState state;
  guint running;

  if (!known)
    cannot_know (v);
  else if (!item)
    answer (v, 404, kr_wire_error ("no such job"), 0);
  else if (!kr_job_peek (item->value, &state, &v->done, &running) || state >= KR_JOB_DONE ||
           (v->part = kr_job_peek_part (item->value)) >= v->api->node->settings->size)
    answer_value (v, item);
  else {
    /* Under the owner that we are going to ask: whoever comes after it reads the cancellation. */
    const KrHolder *h = kr_membership_holder (v->api->node->membership, v->part);
    g_autofree char *key = kr_job_key (v->id), *owner_key = kr_membership_owner_key (v->part);
    KrTxn *txn = kr_txn_new ();
    v->owner = h->node ? h->revision : 0;
    kr_txn_when (txn, key, item->revision);
    kr_txn_when (txn, owner_key, v->owner);
    kr_txn_put (txn, key, kr_job_cancel_value (item->value, v->owner), 0);
    kr_state_commit (v->api->node->state, txn, KR_FIRST, left_ms (v, KR_STATE_TIMEOUT_MS),
                     v->api->cancel, aborted, v);
  }
}

void
kr_api_abort (KrApi *a, KrRequest *request, const char *id)
{
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (answer_from_cache (a, request, id, FALSE))
    return;
  else if (too_busy (a, KR_ROUTE_ABORT))
    refuse (request);
  else
    look (visit_new (a, request, KR_ROUTE_ABORT, id, KR_USER_WRITE_MS), abort_found);
}
