/* Shared by the files of the users' API: api.c (submissions and cancellations), api-poll.c (polls)
 * and api-call.c (requests in progress, reads of jobs, answers). */
#pragma once
#include "api.h"
#include "job-view.h"
#include "poll-metrics.h"

struct KrApi {
  KrNode *node;
  GCancellable *cancel;
  GHashTable *final_cache; /* id -> final state, which never changes */
  GQueue final_order;      /* ids in final_cache, oldest first */
  guint pending_calls;     /* calls that make requests of their own to the state service */
  guint pending_polls;     /* the polls among them */
  guint shared_polls;      /* polls that wait for a shared update of the view */
  KrJobView *view;
  KrPollMetrics *metrics;
  /* id of each job with a poll in progress -> GPtrArray of KrRequest: the polls of the same job
   * that arrived since then */
  GHashTable *active_polls;
};

/* A user's request in progress. */
typedef struct KrApiCall KrApiCall;
/* `known`: the state service has answered. `item`: the stored job, NULL if there is none. */
typedef void (*KrApiLookupFunc) (KrApiCall *call, gboolean known, KrKeyValue *item);
struct KrApiCall {
  KrApi *api;
  KrRequest *request;
  GPtrArray *duplicate_polls; /* KrRequest: polls that get the same answer; NULL: none */
  KrRoute route;
  char *id;
  gint64 arrived_at, deadline;  /* monotonic us */
  KrUnansweredCause unanswered; /* why a poll was not answered; set before kr_api_reply() */
  KrApiLookupFunc on_lookup;
  gboolean counted;           /* in pending_calls */
  gboolean reading_final_key; /* the lookup has come to the key below end/ */
  guint confirm_tries;        /* retries of the cancellation or of its confirmation */
  /* Of a job that is cancelled and has not ended; see kr_shard_cancel_job: */
  guint shard, done;
  guint64 owner_revision, cancel_revision;
};

/* --- requests in progress: api-call.c -------------------------------------------------- */
/* Takes over `request`. The call must end with kr_api_reply() or a function that calls it. */
KrApiCall *kr_api_call_new (KrApi *api, KrRequest *request, KrRoute route, const char *id,
                            guint deadline_ms);
/* Counts the call as one that makes requests of its own to the state service. */
void kr_api_call_count (KrApiCall *call);
/* Whether the call has exceeded its deadline by more than KR_USER_STALE_MS, so that what it has
 * read must not be given to the user. */
gboolean kr_api_call_is_stale (KrApiCall *call);
/* Returns the milliseconds until the deadline, between 1 and `limit_ms`. */
guint kr_api_call_remaining_ms (KrApiCall *call, guint limit_ms);
/* The number of pending calls is limited. Beyond the limit the user is told at once when to try
 * again. Polls are counted separately, so that any number of them leaves room for other calls. */
gboolean kr_api_is_overloaded (KrApi *api, KrRoute route);

/* --- reads of jobs ---------------------------------------------------------------------- */
/* Reads the live key first and then the final key. A job that moves meanwhile is not missed, since
 * jobs only move from the live key to the final key. */
void kr_api_lookup_job (KrApiCall *call, KrApiLookupFunc on_lookup);
/* Reads the final key only. */
void kr_api_lookup_final_state (KrApiCall *call);
/* Calls `retry` with the call a little later, or answers that the cancellation is not confirmed. */
void kr_api_retry_later (KrApiCall *call, GSourceFunc retry);
/* A retry that reads the job again. */
gboolean kr_api_retry_lookup (gpointer data);

/* --- answers ----------------------------------------------------------------------------- */
/* Answers and frees the call. Takes over `body`. */
void kr_api_reply (KrApiCall *call, guint status, json_t *body, guint retry_after_s);
/* Answers 503: the state service cannot be asked now. */
void kr_api_reply_unavailable (KrApiCall *call, KrUnansweredCause cause);
/* Answers from the stored state of a job. The owner must first confirm the cancellation of a
 * cancelled job. If this node owns the job's shard, the counts in memory are newer than the stored
 * ones and are used instead. */
void kr_api_reply_job (KrApiCall *call, const KrStoredJob *stored_job);
void kr_api_reply_stored (KrApiCall *call, const KrKeyValue *item);
/* Asks the owner whether it acts on the committed cancellation, and answers. */
void kr_api_confirm_cancellation (KrApiCall *call);
/* Answers the request if the job's final state is known; FALSE if not. */
gboolean kr_api_reply_from_cache (KrApi *api, KrRequest *request, const char *id,
                                  gboolean with_counts);
void kr_api_cache_final_state (KrApi *api, const char *id, KrJobState state, guint done);
/* Answers 429. */
void kr_api_refuse (KrRequest *request);

/* --- polls: api-poll.c ------------------------------------------------------------------- */
/* Starts one read for all polls of a job that arrived while a poll of it was in progress. */
void kr_api_start_next_poll (KrApi *api, const char *id);
