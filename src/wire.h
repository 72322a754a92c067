/* The HTTP/JSON codec: the only place that knows the protocol's paths and field names. */
#pragma once
#include "settings.h"
#include <glib.h>
#include <jansson.h>

/* --- users --------------------------------------------------------------------------- */
typedef enum {
  KR_PRIORITY_IDLE,
  KR_PRIORITY_NORMAL,
  KR_PRIORITY_URGENT,
  KR_PRIORITY_CRITICAL
} KrPriority;

typedef enum {
  KR_JOB_KIND_ARRAY,  /* independent tasks */
  KR_JOB_KIND_GANG,   /* all tasks at once */
  KR_JOB_KIND_SERVICE /* tasks run until the user cancels the job */
} KrJobKind;

/* What a user submitted. */
typedef struct {
  char *id, *job_class, *team, *image, *zone; /* zone NULL: any */
  char **types;                               /* NULL: any */
  KrJobKind kind;
  KrPriority priority;
  guint tasks;
  double cpus, gpus, mem_gb, image_gb;
  gboolean one_zone, spread_zones, spot_allowed;
  double run_estimate_s, checkpoint_interval_s, checkpoint_save_s;
  double deadline_s; /* NAN: none */
} KrJobSpec;

void kr_job_spec_free (KrJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrJobSpec, kr_job_spec_free)
/* NULL and an error naming the field. */
KrJobSpec *kr_wire_spec_parse (json_t *body, GError **error);
json_t *kr_wire_spec_build (const KrJobSpec *spec);
gboolean kr_wire_is_job_id (const char *id);

typedef enum { KR_JOB_PENDING, KR_JOB_RUNNING, KR_JOB_DONE, KR_JOB_CANCELLED } KrJobState;
const char *kr_wire_job_state (KrJobState state);
json_t *kr_wire_job_answer (const char *id, KrJobState state, gboolean counts, guint done,
                            guint running);
json_t *kr_wire_error (const char *text);

typedef enum {
  KR_ROUTE_NONE,
  KR_ROUTE_READY,
  KR_ROUTE_SUBMIT,
  KR_ROUTE_POLL,
  KR_ROUTE_ABORT,
  KR_ROUTE_REPORT,
  KR_ROUTE_BAD_METHOD
} KrRoute;
/* For POLL and ABORT, *id is the job's id (free it). */
KrRoute kr_wire_route (const char *method, const char *path, char **id);

/* --- workers ------------------------------------------------------------------------- */
typedef enum {
  KR_TASK_PULLING,
  KR_TASK_RUNNING,
  KR_TASK_SAVING,
  KR_TASK_EXITED,
  KR_TASK_UNCONFIRMED /* ours: ordered, not yet seen */
} KrTaskState;
typedef enum {
  KR_EXIT_NONE,
  KR_EXIT_DONE,
  KR_EXIT_STOPPED,
  KR_EXIT_ERROR,
  KR_EXIT_REFUSED, /* no_room, in_use */
  KR_EXIT_UNKNOWN
} KrExitReason;

typedef struct {
  char *job;
  guint index;
  guint64 attempt_id;
  KrTaskState state;
  KrExitReason exit_reason;
} KrTaskReport;

typedef struct {
  char *machine, *endpoint, *type, *zone;
  gboolean spot;
  guint64 session, seq, token;
  double reclaim_notice_s; /* NAN: none */
  GArray *tasks;           /* KrTaskReport */
} KrReport;

void kr_report_free (KrReport *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrReport, kr_report_free)
/* NULL if malformed. */
KrReport *kr_wire_report_parse (json_t *body);

json_t *kr_wire_orders_new (guint64 token);                    /* a report's response */
json_t *kr_wire_commands_new (guint64 token, guint64 session); /* for POST /commands */
void kr_wire_order_run (json_t *orders, const char *job, guint index, guint64 attempt_id);
void kr_wire_order_kill (json_t *orders, const char *job, guint index, guint64 attempt_id,
                         double slack_s);
void kr_wire_order_clear (json_t *orders, const char *job, guint index, guint64 attempt_id);
guint kr_wire_orders_count (json_t *orders);
json_t *kr_wire_redirect (const char *node); /* NULL: nobody known */

/* --- cloud --------------------------------------------------------------------------- */
typedef struct {
  char *name;
  double cpus, gpus, mem_gb, cache_gb, image_pull_gb_per_s, price, spot_price, boot_s;
  char **zones;
} KrMachineType;

void kr_machine_type_free (gpointer data);
GPtrArray *kr_wire_types_parse (json_t *body); /* KrMachineType; NULL if malformed */

typedef enum { KR_MACHINE_STARTING, KR_MACHINE_RUNNING, KR_MACHINE_FAILED } KrListedMachineState;
typedef struct {
  char *id, *endpoint, *type, *zone;
  gboolean spot;
  KrListedMachineState state;
  double age_s;
} KrListedMachine;
void kr_listed_machine_free (gpointer data);

json_t *kr_wire_rental_request (const char *request, const char *type, const char *zone,
                                gboolean spot, guint count);
char **kr_wire_rental_machines (json_t *body); /* NULL if malformed */
json_t *kr_wire_deletion_request (char **ids);
char *kr_wire_machine_list_path (const char *after, guint limit);
/* Appends to `out`; FALSE if malformed. */
gboolean kr_wire_machine_list_parse (json_t *body, GPtrArray *out, gboolean *more);

#define KR_PATH_TYPES "/machine_types"
#define KR_PATH_RENT "/rentals"
#define KR_PATH_DELETE "/rentals/delete"
#define KR_PATH_COMMANDS "/commands"
#define KR_PATH_SHOW "/show"

/* --- state service ------------------------------------------------------------------- */
#define KR_PATH_COMMIT "/commit"
#define KR_PATH_LEASES "/leases"

/* A transaction under construction. */
typedef struct {
  json_t *when, *writes;
} KrTxn;
KrTxn *kr_txn_new (void);
void kr_txn_free (KrTxn *txn);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrTxn, kr_txn_free)
void kr_txn_expect_revision (KrTxn *txn, const char *key, guint64 revision);
void kr_txn_put (KrTxn *txn, const char *key, json_t *value, guint64 lease); /* takes `value` */
void kr_txn_remove (KrTxn *txn, const char *key);
guint kr_txn_write_count (KrTxn *txn);
json_t *kr_txn_to_json (KrTxn *txn);

char *kr_wire_key_path (const char *key);
char *kr_wire_store_list_path (const char *prefix, const char *after, guint limit);
char *kr_wire_watch_path (const char *prefix, guint64 after, guint hold_ms);
json_t *kr_wire_lease_request (guint life_ms);
char *kr_wire_lease_extend_path (guint64 lease);
char *kr_wire_lease_path (guint64 lease);
guint64 kr_wire_lease_parse (json_t *body); /* 0: malformed */
guint64 kr_wire_revision (json_t *body);

typedef struct {
  const char *key; /* borrowed from the body */
  json_t *value;   /* borrowed; NULL: removed */
  guint64 revision;
} KrKeyValue;
gboolean kr_wire_key_value_parse (json_t *body, KrKeyValue *item);
json_t *kr_wire_store_list_items (json_t *body,
                                  gboolean *more); /* array for kr_wire_key_value_parse */
json_t *kr_wire_watch_events (json_t *body);       /* array for kr_wire_watch_event_parse */
gboolean kr_wire_watch_event_parse (json_t *event, KrKeyValue *item);
gboolean kr_wire_commit_failed_on (json_t *body, const char *key);
