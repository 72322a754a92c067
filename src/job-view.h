/* A local copy of the live jobs in the state service, which answers users' polls. It is listed once
 * and then brought up to date by one request for all waiting callers, however many jobs they ask
 * about. */
#pragma once
#include "job.h"
#include "state-client.h"

typedef struct KrJobView KrJobView;

/* A live job as it is stored. */
typedef struct {
  KrJobState state;
  guint done, running;
  gboolean cancelled;
  guint shard;
  guint64 owner;    /* revision of the owner key that the cancellation names; 0: none */
  guint64 revision; /* of the job's key; for both see kr_shard_cancel_job() */
} KrStoredJob;

KrJobView *kr_job_view_new (KrStateClient *state, GCancellable *cancel);
/* Stops the view's requests. Does not free the memory. */
void kr_job_view_free (KrJobView *view);

/* State of the view, for the log. */
typedef struct {
  guint jobs, waiting; /* live jobs; callers that wait */
  guint64 lists_started, lists_completed, pages;
  guint64 updates_completed, updates_failed; /* requests for the changes */
  double age_s; /* since the start of the newest completed request; -1: none yet */
} KrJobViewStats;
KrJobViewStats kr_job_view_stats (KrJobView *view);
/* `up_to_date`: the view has all changes that were made before the call of kr_job_view_sync. If
 * FALSE, it could not be brought up to date within KR_USER_READ_DEADLINE_MS; the work for it goes
 * on for later callers. */
typedef void (*KrJobViewFunc) (gboolean up_to_date, gpointer data);
/* Brings the view up to date, then calls `callback`. */
void kr_job_view_sync (KrJobView *view, KrJobViewFunc callback, gpointer data);
/* Returns FALSE if `item` is not a stored job. Parses the values of ended jobs too. */
gboolean kr_stored_job_parse (KrStoredJob *job, const KrKeyValue *item);
/* Returns NULL if there is no such live job. The job belongs to the view and is valid until the
 * view changes. */
const KrStoredJob *kr_job_view_find (KrJobView *view, const char *job);
