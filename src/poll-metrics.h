/* Polls that a node could not answer, counted by cause, and the jobs that wait longest for an
 * answer. Polls answered with 200 or 404 count as answered. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* Why a poll was not answered. */
typedef enum {
  KR_UNANSWERED_NONE,         /* answered */
  KR_UNANSWERED_JOBS_UNREAD,  /* the live jobs were not read in time */
  KR_UNANSWERED_KEY_UNREAD,   /* the job's own key was not read in time */
  KR_UNANSWERED_LATE,         /* what was read is too old to be told */
  KR_UNANSWERED_TOO_MANY,     /* too many polls are waiting */
  KR_UNANSWERED_UNCONFIRMED,  /* the shard's owner has not confirmed the cancellation */
  KR_UNANSWERED_MALFORMED,    /* the stored job is malformed */
  KR_UNANSWERED_DISCONNECTED, /* the user has closed the connection meanwhile */
  KR_UNANSWERED_CAUSES
} KrUnansweredCause;

typedef struct KrPollMetrics KrPollMetrics;

KrPollMetrics *kr_poll_metrics_new (void);
void kr_poll_metrics_free (KrPollMetrics *metrics);
/* Records that a poll of the job `id` got its answer `waited_s` seconds after it arrived. */
void kr_poll_metrics_note_answered (KrPollMetrics *metrics, const char *id, double waited_s);
/* Records that a poll of the job `id` got no answer. */
void kr_poll_metrics_note_unanswered (KrPollMetrics *metrics, const char *id,
                                      KrUnansweredCause cause);
/* Returns the seconds from the first to the last of a job's unanswered polls since its last answer
 * from this node, for the job for which this is longest; 0: there is none. `id`: that job's id,
 * valid until the next call of a function of this module. Jobs that nobody has asked about for
 * KR_UNANSWERED_FORGET_S do not count. */
double kr_poll_metrics_longest_gap (KrPollMetrics *metrics, const char **id);
/* Logs the unanswered polls since the last call, if there are any. Returns whether there were. */
gboolean kr_poll_metrics_log (KrPollMetrics *metrics);
/* Returns the counts since the start by cause, as a JSON object for /health. */
json_t *kr_poll_metrics_to_json (KrPollMetrics *metrics);
