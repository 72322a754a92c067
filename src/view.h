/* What the state service holds of the live jobs, for users' questions: read once, then brought up
 * to date by one request for all that wait, however many jobs they ask about. */
#pragma once
#include "ledger.h"
#include "state.h"

typedef struct KrView KrView;

/* A live job as it is stored. */
typedef struct {
  KrJobState state;
  guint done, running;
  gboolean cancelled;
  guint part;
  guint64 owner, revision; /* of a cancelled one: see kr_part_cancel */
} KrViewJob;

KrView *kr_view_new (KrState *state, GCancellable *cancel);
void kr_view_free (KrView *view);

/* known: whether the view holds every change that was made before the call. */
typedef void (*KrViewReply) (gboolean known, gpointer data);
void kr_view_sync (KrView *view, KrViewReply reply, gpointer data);
/* FALSE: not a job's value. Ended ones are understood too. */
gboolean kr_view_job_parse (KrViewJob *job, const KrItem *item);
/* NULL: no such live job. */
const KrViewJob *kr_view_find (KrView *view, const char *job);
