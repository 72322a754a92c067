/* What the state service holds of the live jobs, for users' questions: read once, then brought up
 * to date by one request for all that wait, however many jobs they ask about. */
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
  guint64 owner, revision; /* of a cancelled one: see kr_shard_cancel_job */
} KrStoredJob;

KrJobView *kr_job_view_new (KrStateClient *state, GCancellable *cancel);
void kr_job_view_free (KrJobView *view);

/* known: whether the view holds every change that was made before the call. */
typedef void (*KrJobViewFunc) (gboolean known, gpointer data);
void kr_job_view_sync (KrJobView *view, KrJobViewFunc reply, gpointer data);
/* FALSE: not a job's value. Ended ones are understood too. */
gboolean kr_stored_job_parse (KrStoredJob *job, const KrKeyValue *item);
/* NULL: no such live job. */
const KrStoredJob *kr_job_view_find (KrJobView *view, const char *job);
