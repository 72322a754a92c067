/* Refused requests: counts by reason, log lines with text from outside, and their rate. */
#include "clock.h"
#include "constants.h"
#include "refusal-log.h"
#include <string.h>

static double now_s = 100;

gint64
kr_now (void)
{
  return (gint64) (now_s * G_USEC_PER_SEC);
}

static void
test_line_says_what_was_refused (void)
{
  g_autofree char *line = kr_refusal_describe (&(KrRefusal){
      KR_REFUSAL_NOT_JSON, "submission", NULL, "byte 7: unexpected \n\x1b[31m", 462 });
  g_assert_cmpstr (line, ==,
                   "refused: submission -, 400, the body is not JSON: "
                   "byte 7: unexpected \\n\\033[31m, body of 462 bytes");
}

static void
test_long_text_is_cut (void)
{
  g_autofree char *text = g_strnfill (KR_BODY_MAX_BYTES, '\n');
  g_autofree char *line = kr_refusal_describe (
      &(KrRefusal){ KR_REFUSAL_INVALID_FIELD, "submission", text, text, KR_BODY_MAX_BYTES });
  g_assert_cmpuint (strlen (line), <, 200 + 4 * KR_REFUSAL_TEXT_MAX_BYTES);
}

static void
test_flood_is_counted_but_not_logged (void)
{
  const KrRefusal refusal = { KR_REFUSAL_UNKNOWN_TEAM, "submission", "wk-1", "team9", 400 };
  KrRefusalLog *log = kr_refusal_log_new ();
  guint lines = 0;
  for (guint i = 0; i < 1000; i++)
    lines += kr_refusal_log_note (log, &refusal);
  g_assert_cmpuint (lines, ==, KR_REFUSALS_LOGGED_MAX);
  now_s += KR_REFUSAL_LOG_INTERVAL_S;
  g_assert_true (kr_refusal_log_note (log, &refusal));
  json_t *counts = kr_refusal_log_to_json (log);
  g_assert_cmpint (json_integer_value (json_object_get (counts, "UnknownTeam")), ==, 1001);
  g_assert_cmpint (json_integer_value (json_object_get (counts, "NotJson")), ==, 0);
  json_decref (counts);
  kr_refusal_log_free (log);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/refusal-log/line-says-what-was-refused", test_line_says_what_was_refused);
  g_test_add_func ("/refusal-log/long-text-is-cut", test_long_text_is_cut);
  g_test_add_func ("/refusal-log/flood-is-counted-but-not-logged",
                   test_flood_is_counted_but_not_logged);
  return g_test_run ();
}
