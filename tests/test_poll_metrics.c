/* Counting of polls that were not answered, with a clock of its own. */
#include "clock.h"
#include "constants.h"
#include "poll-metrics.h"

static double now_s;

gint64
kr_now (void)
{
  return (gint64) (now_s * G_USEC_PER_SEC);
}

static json_int_t
count_of (KrPollMetrics *metrics, const char *key)
{
  json_t *counts = kr_poll_metrics_to_json (metrics);
  json_int_t count = json_integer_value (json_object_get (counts, key));
  json_decref (counts);
  return count;
}

static void
test_gap_ends_with_answer (void)
{
  KrPollMetrics *metrics = kr_poll_metrics_new ();
  const char *id;
  now_s = 100;
  kr_poll_metrics_note_unanswered (metrics, "wk-1", KR_UNANSWERED_JOBS_UNREAD);
  now_s = 105;
  kr_poll_metrics_note_unanswered (metrics, "wk-2", KR_UNANSWERED_TOO_MANY);
  now_s = 112;
  kr_poll_metrics_note_unanswered (metrics, "wk-1", KR_UNANSWERED_JOBS_UNREAD);
  kr_poll_metrics_note_unanswered (metrics, "wk-2", KR_UNANSWERED_TOO_MANY);
  g_assert_cmpfloat (kr_poll_metrics_longest_gap (metrics, &id), ==, 12);
  g_assert_cmpstr (id, ==, "wk-1");
  kr_poll_metrics_note_answered (metrics, "wk-1", 0.1);
  g_assert_cmpfloat (kr_poll_metrics_longest_gap (metrics, &id), ==, 7);
  g_assert_cmpstr (id, ==, "wk-2");
  g_assert_cmpint (count_of (metrics, "JobsUnread"), ==, 2);
  g_assert_cmpint (count_of (metrics, "TooMany"), ==, 2);
  g_assert_cmpint (count_of (metrics, "Answered"), ==, 1);
  g_assert_cmpint (count_of (metrics, "AnsweredLate"), ==, 0);
  kr_poll_metrics_note_answered (metrics, "wk-2", KR_USER_POLL_TIMEOUT_S + 0.1);
  g_assert_cmpint (count_of (metrics, "AnsweredLate"), ==, 1);
  g_assert_cmpfloat (kr_poll_metrics_longest_gap (metrics, &id), ==, 0);
  g_assert_null (id);
  kr_poll_metrics_free (metrics);
}

static void
test_jobs_not_asked_about_are_forgotten (void)
{
  KrPollMetrics *metrics = kr_poll_metrics_new ();
  const char *id;
  now_s = 100;
  kr_poll_metrics_note_unanswered (metrics, "wk-1", KR_UNANSWERED_LATE);
  now_s = 110;
  kr_poll_metrics_note_unanswered (metrics, "wk-1", KR_UNANSWERED_LATE);
  now_s = 110 + KR_UNANSWERED_FORGET_S + 1;
  g_assert_cmpfloat (kr_poll_metrics_longest_gap (metrics, &id), ==, 0);
  g_assert_null (id);
  kr_poll_metrics_free (metrics);
}

static void
test_jobs_are_bounded (void)
{
  KrPollMetrics *metrics = kr_poll_metrics_new ();
  const char *id;
  now_s = 100;
  for (guint i = 0; i < KR_UNANSWERED_JOBS_MAX + 10; i++) {
    g_autofree char *job = g_strdup_printf ("wk-%u", i);
    kr_poll_metrics_note_unanswered (metrics, job, KR_UNANSWERED_TOO_MANY);
  }
  now_s = 101;
  g_autofree char *beyond = g_strdup_printf ("wk-%u", KR_UNANSWERED_JOBS_MAX + 5);
  kr_poll_metrics_note_unanswered (metrics, beyond, KR_UNANSWERED_TOO_MANY);
  g_assert_cmpfloat (kr_poll_metrics_longest_gap (metrics, &id), ==, 0);
  g_assert_cmpint (count_of (metrics, "TooMany"), ==, KR_UNANSWERED_JOBS_MAX + 11);
  kr_poll_metrics_free (metrics);
}

static void
test_log_only_when_something_is_unanswered (void)
{
  KrPollMetrics *metrics = kr_poll_metrics_new ();
  g_assert_false (kr_poll_metrics_log (metrics));
  kr_poll_metrics_note_answered (metrics, "wk-1", 0);
  g_assert_false (kr_poll_metrics_log (metrics));
  kr_poll_metrics_note_unanswered (metrics, "wk-1", KR_UNANSWERED_UNCONFIRMED);
  g_assert_true (kr_poll_metrics_log (metrics));
  g_assert_false (kr_poll_metrics_log (metrics));
  kr_poll_metrics_free (metrics);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/poll-metrics/gap-ends-with-answer", test_gap_ends_with_answer);
  g_test_add_func ("/poll-metrics/jobs-not-asked-about-are-forgotten",
                   test_jobs_not_asked_about_are_forgotten);
  g_test_add_func ("/poll-metrics/jobs-are-bounded", test_jobs_are_bounded);
  g_test_add_func ("/poll-metrics/log-only-when-unanswered",
                   test_log_only_when_something_is_unanswered);
  return g_test_run ();
}
