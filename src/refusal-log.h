/* Requests that were refused as malformed or as impossible: how many there were for each reason,
 * and a log line for each, limited in rate. */
#pragma once
#include <glib.h>
#include <jansson.h>

typedef enum {
  KR_REFUSAL_NOT_JSON,      /* 400 */
  KR_REFUSAL_INVALID_FIELD, /* 400: a field is missing or invalid */
  KR_REFUSAL_UNKNOWN_TEAM,  /* 422 */
  KR_REFUSAL_NO_FITTING_TYPE,
  KR_REFUSAL_OVER_TEAM_LIMIT,
  KR_REFUSAL_TOO_LARGE_TO_STORE,
  KR_REFUSAL_REASONS
} KrRefusalReason;

/* The strings may come from outside: they are escaped in the log. */
typedef struct {
  KrRefusalReason reason;
  const char *interface; /* what was refused: "submission", "report" or a peer's path */
  const char *id;        /* of the job or the machine; NULL: unknown */
  const char *detail;    /* the field, or the syntax error and its position; NULL: none */
  gsize body_bytes;
} KrRefusal;

typedef struct KrRefusalLog KrRefusalLog;
KrRefusalLog *kr_refusal_log_new (void);
void kr_refusal_log_free (KrRefusalLog *log);
/* Counts the refusal and logs it. Returns FALSE if it was counted only, because
 * KR_REFUSALS_LOGGED_MAX lines were logged in this interval already. */
gboolean kr_refusal_log_note (KrRefusalLog *log, const KrRefusal *refusal);
/* Returns the text for the user: why the request is refused. It belongs to the program. */
const char *kr_refusal_reason_text (KrRefusalReason reason);
/* Returns the text of the log line, to be freed with g_free(). */
char *kr_refusal_describe (const KrRefusal *refusal);
/* Returns the number of refusals since the start, as an object with a field for each reason. */
json_t *kr_refusal_log_to_json (const KrRefusalLog *log);
