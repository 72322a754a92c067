#include "refusal-log.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "machine.h"
#include <string.h>

struct KrRefusalLog {
  guint64 total[KR_REFUSAL_REASONS];
  gint64 interval_start; /* monotonic us */
  guint logged;          /* lines in this interval */
  guint unlogged;        /* refusals in this interval without a line */
};

static const struct {
  guint status;
  const char *text, *key;
} reasons[] = {
  [KR_REFUSAL_NOT_JSON] = { 400, "the body is not JSON", "NotJson" },
  [KR_REFUSAL_INVALID_FIELD] = { 400, "a field is missing or invalid", "InvalidField" },
  [KR_REFUSAL_UNKNOWN_TEAM] = { 422, "unknown team", "UnknownTeam" },
  [KR_REFUSAL_NO_FITTING_TYPE] = { 422, "a task fits no allowed machine type", "NoFittingType" },
  [KR_REFUSAL_OVER_TEAM_LIMIT] = { 422, "the job needs more than the team's limit",
                                   "OverTeamLimit" },
  [KR_REFUSAL_TOO_LARGE_TO_STORE] = { 422, "the job's texts are too long to be stored",
                                      "TooLargeToStore" },
};

KrRefusalLog *
kr_refusal_log_new (void)
{
  return g_new0 (KrRefusalLog, 1);
}

void
kr_refusal_log_free (KrRefusalLog *log)
{
  g_free (log);
}

const char *
kr_refusal_reason_text (KrRefusalReason reason)
{
  return reasons[reason].text;
}

/* Returns a string from outside, escaped and cut; "-" for NULL. */
static char *
quote (const char *text)
{
  g_autofree char *start = text ? g_strndup (text, KR_REFUSAL_TEXT_MAX_BYTES) : NULL;
  return start ? g_strescape (start, NULL) : g_strdup ("-");
}

char *
kr_refusal_describe (const KrRefusal *refusal)
{
  g_autofree char *interface = quote (refusal->interface);
  g_autofree char *id = quote (refusal->id);
  g_autofree char *detail = quote (refusal->detail);
  return g_strdup_printf ("refused: %s %s, %u, %s: %s, body of %zu bytes", interface, id,
                          reasons[refusal->reason].status, reasons[refusal->reason].text, detail,
                          refusal->body_bytes);
}

static void
start_interval (KrRefusalLog *log, gint64 now)
{
  if (log->unlogged)
    kr_info ("refused: %u further requests were not logged", log->unlogged);
  log->interval_start = now;
  log->logged = 0;
  log->unlogged = 0;
}

gboolean
kr_refusal_log_note (KrRefusalLog *log, const KrRefusal *refusal)
{
  gint64 now = kr_now ();
  log->total[refusal->reason]++;
  if (now - log->interval_start >= kr_seconds_to_us (KR_REFUSAL_LOG_INTERVAL_S))
    start_interval (log, now);
  if (log->logged >= KR_REFUSALS_LOGGED_MAX) {
    log->unlogged++;
    return FALSE;
  }
  g_autofree char *line = kr_refusal_describe (refusal);
  kr_info ("%s", line);
  log->logged++;
  return TRUE;
}

json_t *
kr_refusal_log_to_json (const KrRefusalLog *log)
{
  json_t *counts = json_object ();
  for (guint i = 0; i < KR_REFUSAL_REASONS; i++)
    json_object_set_new (counts, reasons[i].key, json_integer ((json_int_t) log->total[i]));
  return counts;
}
