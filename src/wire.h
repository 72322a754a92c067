/* The HTTP/JSON codec of the protocols with users, workers, the cloud and the state service: the
 * only module with their paths and field names. */
#pragma once
#include "constants.h"
#include "json-codec.h"
#include "settings.h"
#include <glib.h>

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

/* A job as its user submitted it. The resources are those of one task. */
typedef struct {
  char *id, *job_class, *team, *image;
  char *zone;   /* NULL: any */
  char **types; /* allowed machine types; NULL: any */
  KrJobKind kind;
  KrPriority priority;
  guint tasks;
  double cpus, gpus, mem_gb, image_gb;
  gboolean one_zone;     /* all tasks run in the same zone */
  gboolean spread_zones; /* at most half of the tasks (rounded up) run in the same zone */
  gboolean spot_allowed; /* tasks may run on spot machines */
  double run_estimate_s; /* the user's estimate of a task's run time */
  double checkpoint_interval_s;
  double checkpoint_save_s; /* time that a task needs to save its state when it is stopped */
  double deadline_s;        /* from submission; NAN: none */
} KrJobSpec;

void kr_job_spec_free (KrJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrJobSpec, kr_job_spec_free)
/* Returns NULL and sets `error`, which names the field, if the job is invalid. */
KrJobSpec *kr_wire_spec_parse (json_t *body, GError **error);
json_t *kr_wire_spec_build (const KrJobSpec *spec);
/* Returns the job id in a submission, or NULL. It belongs to `body`. */
const char *kr_wire_job_id (json_t *body);
/* Whether `id` has the form of a job id, "wk-" and digits. */
gboolean kr_wire_is_job_id (const char *id);

typedef enum { KR_JOB_PENDING, KR_JOB_RUNNING, KR_JOB_DONE, KR_JOB_CANCELLED } KrJobState;
/* Returns the name of the state in the protocol. */
const char *kr_wire_job_state (KrJobState state);
/* With `with_counts`, the answer has the numbers of done and running tasks. */
json_t *kr_wire_job_answer (const char *id, KrJobState state, gboolean with_counts, guint done,
                            guint running);
json_t *kr_wire_error (const char *text);

typedef enum {
  KR_ROUTE_NONE, /* unknown path */
  KR_ROUTE_READY,
  KR_ROUTE_SUBMIT,
  KR_ROUTE_POLL,
  KR_ROUTE_ABORT,
  KR_ROUTE_REPORT, /* a worker's report */
  KR_ROUTE_BAD_METHOD
} KrRoute;
/* For KR_ROUTE_POLL and KR_ROUTE_ABORT, *id is the job id, which the caller frees with g_free().
 * Otherwise it is NULL. */
KrRoute kr_wire_route (const char *method, const char *path, char **id);

/* --- workers ------------------------------------------------------------------------- */
typedef enum {
  KR_TASK_PULLING, /* pulls its image, or waits for the other tasks of its gang */
  KR_TASK_RUNNING,
  KR_TASK_SAVING, /* saves its state before it stops */
  KR_TASK_EXITED,
  KR_TASK_UNCONFIRMED /* not in the protocol: ordered, and not yet in any report */
} KrTaskState;

/* Why a task exited. */
typedef enum {
  KR_EXIT_NONE, /* has not exited */
  KR_EXIT_DONE,
  KR_EXIT_STOPPED, /* was killed, or is of a gang that lacks other tasks */
  KR_EXIT_ERROR,
  KR_EXIT_REFUSED, /* did not start: no_room or in_use */
  KR_EXIT_UNKNOWN  /* the worker does not know the job */
} KrExitReason;

/* The state of one task in a worker's report. */
typedef struct {
  char *job;
  guint index;
  guint64 attempt_id;
  KrTaskState state;
  KrExitReason exit_reason;
} KrTaskReport;

/* A worker's heartbeat report. */
typedef struct {
  char *machine, *endpoint, *type, *zone;
  gboolean spot;
  guint64 session;         /* grows when the worker's lease has expired; never 0 */
  guint64 seq;             /* number of the report in its session */
  guint64 token;           /* the highest fencing token that the worker has received */
  double reclaim_notice_s; /* time until the cloud reclaims the spot machine; NAN: no notice */
  GArray *tasks;           /* KrTaskReport */
} KrReport;

void kr_report_free (KrReport *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrReport, kr_report_free)
/* Returns NULL if the report is malformed. */
KrReport *kr_wire_report_parse (json_t *body);

/* Length of the list of tasks in a report, at most: a longer report would be refused. */
#define KR_REPORT_TASKS_MAX_BYTES (KR_BODY_MAX_BYTES - KR_REPORT_HEAD_BYTES)
/* Returns an upper bound of the length, in bytes, of the entry of one of the job's tasks in that
 * list. NULL: of a job with an id of usual length. */
gsize kr_wire_report_task_bytes (const char *job);

/* A message with orders to a worker. It stays within one line of KR_LINE_MAX_BYTES. */
typedef struct {
  json_t *message;
  gsize bytes; /* upper bound of its length */
} KrOrders;
/* Returns an empty list of orders for the response to a report. */
KrOrders *kr_wire_orders_new (guint64 token);
/* Returns an empty list of orders for POST /commands. A worker refuses them if it has another
 * session or has received a higher token. */
KrOrders *kr_wire_commands_new (guint64 token, guint64 session);
void kr_wire_orders_free (KrOrders *orders);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrOrders, kr_wire_orders_free)
/* Whether an order about one of the job's tasks can be appended. */
gboolean kr_wire_orders_has_room (const KrOrders *orders, const char *job);
/* These three functions append an order to `orders`: to start a task, to stop it, or to forget an
 * exited one. A killed task may run for `grace_s` longer to save its state. They return FALSE, and
 * append nothing, if there is no room left. */
gboolean kr_wire_order_run (KrOrders *orders, const char *job, guint index, guint64 attempt_id);
gboolean kr_wire_order_kill (KrOrders *orders, const char *job, guint index, guint64 attempt_id,
                             double grace_s);
gboolean kr_wire_order_clear (KrOrders *orders, const char *job, guint index, guint64 attempt_id);
guint kr_wire_orders_count (const KrOrders *orders);
/* Returns a new reference to the message. */
json_t *kr_wire_orders_message (const KrOrders *orders);
/* Returns the body of a response that sends a worker to its shard's owner. `owner`: the name of the
 * node, NULL if unknown. */
json_t *kr_wire_redirect (const char *owner);

/* --- cloud --------------------------------------------------------------------------- */
typedef struct {
  char *name;
  double cpus, gpus, mem_gb, cache_gb, image_pull_gb_per_s, price, spot_price;
  double boot_s; /* usual time from the rental until the machine is ready */
  char **zones;
} KrMachineType;

void kr_machine_type_free (gpointer data);
GPtrArray *kr_wire_types_parse (json_t *body); /* of KrMachineType; NULL if malformed */

typedef enum { KR_MACHINE_STARTING, KR_MACHINE_RUNNING, KR_MACHINE_FAILED } KrListedMachineState;

/* A machine in the cloud's machine list. */
typedef struct {
  char *id, *endpoint, *type, *zone;
  gboolean spot;
  KrListedMachineState state;
  double age_s; /* since the machine was rented */
} KrListedMachine;
void kr_listed_machine_free (gpointer data);

/* `request`: a name of the request. The cloud executes requests of the same name only once. */
json_t *kr_wire_rental_request (const char *request, const char *type, const char *zone,
                                gboolean spot, guint count);
/* Returns the ids of the rented machines, to be freed with g_strfreev(), or NULL if malformed. */
char **kr_wire_rental_machines (json_t *body);
json_t *kr_wire_deletion_request (char **ids);
/* `after_id`: the last id of the page before, NULL for the first page. */
char *kr_wire_machine_list_path (const char *after_id, guint page_size);
/* Appends a KrListedMachine for each machine to `out`. *more: whether there are further pages.
 * Returns FALSE if the list is malformed. */
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
  json_t *preconditions, *writes;
} KrTxn;
KrTxn *kr_txn_new (void);
void kr_txn_free (KrTxn *txn);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrTxn, kr_txn_free)
/* Makes the transaction fail unless `key` has this revision; 0: unless the key does not exist. */
void kr_txn_expect_revision (KrTxn *txn, const char *key, guint64 revision);
/* Takes over `value`. The key is removed when `lease` ends. 0: no lease. */
void kr_txn_put (KrTxn *txn, const char *key, json_t *value, guint64 lease);
void kr_txn_remove (KrTxn *txn, const char *key);
/* Returns the number of puts and removes. */
guint kr_txn_write_count (KrTxn *txn);
json_t *kr_txn_to_json (KrTxn *txn);

/* The caller frees the paths with g_free(). */
char *kr_wire_key_path (const char *key);
/* `after_key`: the last key of the page before, NULL for the first page. */
char *kr_wire_store_list_path (const char *prefix, const char *after_key, guint page_size);
/* The request is held open for at most `hold_ms` while there are no changes after the revision. */
char *kr_wire_watch_path (const char *prefix, guint64 after_revision, guint hold_ms);
json_t *kr_wire_lease_request (guint ttl_ms);
char *kr_wire_lease_extend_path (guint64 lease);
char *kr_wire_lease_path (guint64 lease);
/* Returns the id of the granted lease, or 0 if the body is malformed. */
guint64 kr_wire_lease_parse (json_t *body);
/* Returns the revision of the store in an answer of the state service. After a commit it is that of
 * the commit. */
guint64 kr_wire_revision (json_t *body);

/* A key in the state service. `key` and `value` belong to the JSON body that was parsed. */
typedef struct {
  const char *key;
  json_t *value; /* NULL: the key was removed */
  guint64 revision;
} KrKeyValue;
/* The parse functions return FALSE if the object is malformed. */
gboolean kr_wire_key_value_parse (json_t *body, KrKeyValue *item);
/* Returns an array of objects for kr_wire_key_value_parse, or NULL. *more: whether there are
 * further pages. */
json_t *kr_wire_store_list_items (json_t *body, gboolean *more);
/* Returns the events in the answer to a watch as an array of KrKeyValue in the order of their
 * revisions: the state service may list them in any order. Malformed events are left out. Returns
 * NULL if there is no list of events. The caller frees the array with g_array_unref(); keys and
 * values belong to `body`. */
GArray *kr_wire_watch_events (json_t *body);
/* Whether a failed commit's answer names `key` among the keys with an unexpected revision. */
gboolean kr_wire_commit_failed_on (json_t *body, const char *key);
