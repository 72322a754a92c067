#include "poll-metrics.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

/* A job with polls that this node has not answered since its last answer. */
typedef struct {
  gint64 first_at, last_at; /* monotonic us: when the first and the last of them ended */
} UnansweredJob;

struct KrPollMetrics {
  guint64 total[KR_UNANSWERED_CAUSES], logged[KR_UNANSWERED_CAUSES];
  guint64 answered, answered_late;
  GHashTable *jobs; /* id -> UnansweredJob */
};

static const struct {
  const char *text, *key;
} causes[] = { [KR_UNANSWERED_JOBS_UNREAD] = { "live jobs not read", "JobsUnread" },
               [KR_UNANSWERED_KEY_UNREAD] = { "job's key not read", "KeyUnread" },
               [KR_UNANSWERED_LATE] = { "read too late", "Late" },
               [KR_UNANSWERED_TOO_MANY] = { "too many polls", "TooMany" },
               [KR_UNANSWERED_UNCONFIRMED] = { "cancellation not confirmed", "Unconfirmed" },
               [KR_UNANSWERED_MALFORMED] = { "stored job malformed", "Malformed" },
               [KR_UNANSWERED_DISCONNECTED] = { "user disconnected", "Disconnected" } };

KrPollMetrics *
kr_poll_metrics_new (void)
{
  KrPollMetrics *metrics = g_new0 (KrPollMetrics, 1);
  metrics->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return metrics;
}

void
kr_poll_metrics_free (KrPollMetrics *metrics)
{
  g_hash_table_unref (metrics->jobs);
  g_free (metrics);
}

void
kr_poll_metrics_note_answered (KrPollMetrics *metrics, const char *id, double waited_s)
{
  metrics->answered++;
  metrics->answered_late += waited_s > KR_USER_POLL_TIMEOUT_S;
  g_hash_table_remove (metrics->jobs, id);
}

void
kr_poll_metrics_note_unanswered (KrPollMetrics *metrics, const char *id, KrUnansweredCause cause)
{
  gint64 now = kr_now ();
  UnansweredJob *job = g_hash_table_lookup (metrics->jobs, id);

  metrics->total[cause]++;
  if (job)
    job->last_at = now;
  else if (g_hash_table_size (metrics->jobs) < KR_UNANSWERED_JOBS_MAX) {
    job = g_new (UnansweredJob, 1);
    *job = (UnansweredJob){ now, now };
    g_hash_table_insert (metrics->jobs, g_strdup (id), job);
  }
}

double
kr_poll_metrics_longest_gap (KrPollMetrics *metrics, const char **id)
{
  gint64 forget_before = kr_now () - (gint64) (KR_UNANSWERED_FORGET_S * G_USEC_PER_SEC);
  gint64 longest = 0;
  GHashTableIter iter;
  gpointer key, value;

  *id = NULL;
  g_hash_table_iter_init (&iter, metrics->jobs);
  while (g_hash_table_iter_next (&iter, &key, &value)) {
    const UnansweredJob *job = value;
    if (job->last_at < forget_before)
      g_hash_table_iter_remove (&iter);
    else if (job->last_at - job->first_at >= longest) {
      longest = job->last_at - job->first_at;
      *id = key;
    }
  }
  return (double) longest / G_USEC_PER_SEC;
}

gboolean
kr_poll_metrics_log (KrPollMetrics *metrics)
{
  g_autoptr (GString) text = g_string_new (NULL);
  guint64 sum = 0;
  const char *id;

  for (guint i = KR_UNANSWERED_NONE + 1; i < KR_UNANSWERED_CAUSES; i++) {
    guint64 count = metrics->total[i] - metrics->logged[i];
    metrics->logged[i] = metrics->total[i];
    sum += count;
    if (count)
      g_string_append_printf (text, "%s%s %" G_GUINT64_FORMAT, text->len ? ", " : "",
                              causes[i].text, count);
  }
  double gap_s = kr_poll_metrics_longest_gap (metrics, &id);
  if (sum)
    kr_info ("polls: %" G_GUINT64_FORMAT " not answered (%s); %u jobs wait for an answer of this "
             "node, %s for %.0f s",
             sum, text->str, g_hash_table_size (metrics->jobs), id ? id : "none", gap_s);
  return sum > 0;
}

json_t *
kr_poll_metrics_to_json (KrPollMetrics *metrics)
{
  json_t *counts = json_pack ("{sI sI}", "Answered", (json_int_t) metrics->answered, "AnsweredLate",
                              (json_int_t) metrics->answered_late);
  for (guint i = KR_UNANSWERED_NONE + 1; i < KR_UNANSWERED_CAUSES; i++)
    json_object_set_new (counts, causes[i].key, json_integer ((json_int_t) metrics->total[i]));
  return counts;
}
