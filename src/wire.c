#include "wire.h"
#include "constants.h"
#include <math.h>
#include <string.h>

/* --- access to JSON fields ----------------------------------------------------------- */
/* The get functions return NULL, 0 or FALSE if the field is missing or of another type. */
static const char *
get_string (json_t *o, const char *field)
{
  return json_string_value (json_object_get (o, field));
}

static gboolean
is_null (json_t *o, const char *field)
{
  json_t *v = json_object_get (o, field);
  return v == NULL || json_is_null (v);
}

static guint64
get_uint (json_t *o, const char *field)
{
  return kr_json_uint (json_object_get (o, field));
}

static double
get_number (json_t *o, const char *field)
{
  return kr_json_number (json_object_get (o, field));
}

static gboolean
get_bool (json_t *o, const char *field)
{
  return json_is_true (json_object_get (o, field));
}

/* --- users --------------------------------------------------------------------------- */
#define JOB_ID_PREFIX "wk-"
static const char *const priority_names[] = { "idle", "normal", "urgent", "critical" };
static const char *const job_kind_names[] = { "array", "gang", "service" };
static const char *const job_state_names[] = { "pending", "running", "done", "cancelled" };

void
kr_job_spec_free (KrJobSpec *spec)
{
  g_free (spec->id);
  g_free (spec->job_class);
  g_free (spec->team);
  g_free (spec->image);
  g_free (spec->zone);
  g_strfreev (spec->types);
  g_free (spec);
}

const char *
kr_wire_job_id (json_t *body)
{
  return get_string (body, "Id");
}

gboolean
kr_wire_is_job_id (const char *id)
{
  gsize n = id ? strlen (id) : 0;
  if (n <= strlen (JOB_ID_PREFIX) || n > KR_JOB_ID_MAX_BYTES ||
      !g_str_has_prefix (id, JOB_ID_PREFIX))
    return FALSE;
  for (const char *p = id + strlen (JOB_ID_PREFIX); *p; p++)
    if (!g_ascii_isdigit (*p))
      return FALSE;
  return TRUE;
}

/* Keeps the first error. Always returns FALSE. */
static gboolean
set_field_error (GError **error, const char *field)
{
  if (error && !*error)
    g_set_error (error, KR_SETTINGS_ERROR, 2, "%s is missing or invalid", field);
  return FALSE;
}

static gboolean
is_valid_string (const char *s)
{
  return s && *s;
}

static char *
require_string (json_t *o, const char *field, GError **error)
{
  const char *s = get_string (o, field);
  if (!is_valid_string (s)) {
    set_field_error (error, field);
    return NULL;
  }
  return g_strdup (s);
}

static char *
optional_string (json_t *o, const char *field, GError **error)
{
  return is_null (o, field) ? NULL : require_string (o, field, error);
}

static double
require_number (json_t *o, const char *field, double minimum, double maximum, GError **error)
{
  json_t *v = json_object_get (o, field);
  double x = kr_json_number (v);
  if (!json_is_number (v) || !(x >= minimum && x <= maximum))
    set_field_error (error, field);
  return x;
}

static gboolean
require_bool (json_t *o, const char *field, GError **error)
{
  json_t *v = json_object_get (o, field);
  if (!json_is_boolean (v))
    set_field_error (error, field);
  return json_is_true (v);
}

static guint
require_enum (json_t *o, const char *field, const char *const *names, guint n, GError **error)
{
  const char *name = get_string (o, field);
  for (guint i = 0; name && i < n; i++)
    if (g_str_equal (name, names[i]))
      return i;
  set_field_error (error, field);
  return 0;
}

/* Only the fields that may be null may be missing: Hulls, Harbor and TideS. */
KrJobSpec *
kr_wire_spec_parse (json_t *body, GError **error)
{
  g_autoptr (KrJobSpec) spec = g_new0 (KrJobSpec, 1);
  GError *err = NULL;

  if (!json_is_object (body)) {
    set_field_error (error, "the body");
    return NULL;
  }
  spec->id = require_string (body, "Id", &err);
  if (spec->id && !kr_wire_is_job_id (spec->id))
    set_field_error (&err, "Id");
  spec->job_class = require_string (body, "Lane", &err);
  spec->team = require_string (body, "Crew", &err);
  spec->kind = require_enum (body, "Form", job_kind_names, G_N_ELEMENTS (job_kind_names), &err);
  spec->priority = require_enum (body, "Rank", priority_names, G_N_ELEMENTS (priority_names), &err);
  if (!json_is_integer (json_object_get (body, "Shifts")))
    set_field_error (&err, "Shifts");
  spec->tasks = (guint) require_number (body, "Shifts", 1, 100000, &err);
  spec->cpus = require_number (body, "Cores", 0, 1e6, &err);
  spec->gpus = require_number (body, "Accelerators", 0, 1e6, &err);
  spec->mem_gb = require_number (body, "MemGb", 0, 1e7, &err);
  spec->image = require_string (body, "Cargo", &err);
  spec->image_gb = require_number (body, "PullGb", 0, 1e6, &err);
  if (!is_null (body, "Hulls")) {
    json_t *types = json_object_get (body, "Hulls"), *type;
    size_t i, n = json_array_size (types);
    if (!json_is_array (types) || n == 0)
      set_field_error (&err, "Hulls");
    else {
      spec->types = g_new0 (char *, n + 1);
      json_array_foreach (types, i, type)
      {
        if (!is_valid_string (json_string_value (type))) {
          set_field_error (&err, "Hulls");
          break;
        }
        spec->types[i] = g_strdup (json_string_value (type));
      }
    }
  }
  spec->zone = optional_string (body, "Harbor", &err);
  spec->one_zone = require_bool (body, "OneZone", &err);
  spec->spread_zones = require_bool (body, "Apart", &err);
  spec->spot_allowed = require_bool (body, "Driftwood", &err);
  spec->run_estimate_s = require_number (body, "SailS", 0, 1e9, &err);
  spec->checkpoint_interval_s = require_number (body, "MooringS", 0, 1e9, &err);
  spec->checkpoint_save_s = require_number (body, "StowS", 0, 1e9, &err);
  spec->deadline_s = is_null (body, "TideS") ? NAN : require_number (body, "TideS", 0, 1e9, &err);
  if (err) {
    g_propagate_error (error, err);
    return NULL;
  }
  return g_steal_pointer (&spec);
}

static json_t *
string_or_null (const char *s)
{
  return s ? json_string (s) : json_null ();
}

json_t *
kr_wire_spec_build (const KrJobSpec *spec)
{
  json_t *types = json_null ();
  if (spec->types) {
    types = json_array ();
    for (char **type = spec->types; *type; type++)
      json_array_append_new (types, json_string (*type));
  }
  return json_pack ("{ss ss ss ss ss sI sf sf sf ss sf so so sb sb sb sf sf sf so}", "Id", spec->id,
                    "Lane", spec->job_class, "Crew", spec->team, "Form", job_kind_names[spec->kind],
                    "Rank", priority_names[spec->priority], "Shifts", (json_int_t) spec->tasks,
                    "Cores", spec->cpus, "Accelerators", spec->gpus, "MemGb", spec->mem_gb, "Cargo",
                    spec->image, "PullGb", spec->image_gb, "Hulls", types, "Harbor",
                    string_or_null (spec->zone), "OneZone", spec->one_zone, "Apart",
                    spec->spread_zones, "Driftwood", spec->spot_allowed, "SailS",
                    spec->run_estimate_s, "MooringS", spec->checkpoint_interval_s, "StowS",
                    spec->checkpoint_save_s, "TideS",
                    isnan (spec->deadline_s) ? json_null () : json_real (spec->deadline_s));
}

const char *
kr_wire_job_state (KrJobState state)
{
  return job_state_names[state];
}

json_t *
kr_wire_job_answer (const char *id, KrJobState state, gboolean with_counts, guint done,
                    guint running)
{
  json_t *answer = json_pack ("{ss ss}", "Id", id, "Bearing", job_state_names[state]);
  if (with_counts) {
    json_object_set_new (answer, "done", json_integer (done));
    json_object_set_new (answer, "running", json_integer (running));
  }
  return answer;
}

json_t *
kr_wire_error (const char *text)
{
  return json_pack ("{ss}", "error", text);
}

KrRoute
kr_wire_route (const char *method, const char *path, char **id)
{
  gboolean post = g_str_equal (method, "POST"), get = g_str_equal (method, "GET");
  *id = NULL;
  if (g_str_equal (path, "/ready"))
    return get ? KR_ROUTE_READY : KR_ROUTE_BAD_METHOD;
  if (g_str_equal (path, "/agent/beat"))
    return post ? KR_ROUTE_REPORT : KR_ROUTE_BAD_METHOD;
  if (g_str_equal (path, "/api/jobs"))
    return post ? KR_ROUTE_SUBMIT : KR_ROUTE_BAD_METHOD;
  if (!g_str_has_prefix (path, "/api/jobs/"))
    return KR_ROUTE_NONE;
  const char *suffix = path + strlen ("/api/jobs/");
  const char *slash = strchr (suffix, '/');
  if (slash && !g_str_equal (slash, "/abort"))
    return KR_ROUTE_NONE;
  if (slash ? !post : !get)
    return KR_ROUTE_BAD_METHOD;
  *id = slash ? g_strndup (suffix, slash - suffix) : g_strdup (suffix);
  return slash ? KR_ROUTE_ABORT : KR_ROUTE_POLL;
}

/* --- workers ------------------------------------------------------------------------- */
void
kr_report_free (KrReport *report)
{
  g_free (report->machine);
  g_free (report->endpoint);
  g_free (report->type);
  g_free (report->zone);
  for (guint i = 0; report->tasks && i < report->tasks->len; i++)
    g_free (g_array_index (report->tasks, KrTaskReport, i).job);
  g_clear_pointer (&report->tasks, g_array_unref);
  g_free (report);
}

static KrTaskState
parse_task_state (const char *name)
{
  if (g_strcmp0 (name, "pulling") == 0 || g_strcmp0 (name, "gathering") == 0)
    return KR_TASK_PULLING;
  if (g_strcmp0 (name, "saving") == 0)
    return KR_TASK_SAVING;
  if (g_strcmp0 (name, "exited") == 0)
    return KR_TASK_EXITED;
  return KR_TASK_RUNNING;
}

static KrExitReason
parse_exit_reason (const char *name)
{
  if (!name)
    return KR_EXIT_NONE;
  if (g_str_equal (name, "done"))
    return KR_EXIT_DONE;
  /* A task of a gang ends by itself when other tasks of the gang are missing. It has not failed. */
  if (g_str_equal (name, "stopped") || g_str_equal (name, "peers") || g_str_equal (name, "alone"))
    return KR_EXIT_STOPPED;
  if (g_str_equal (name, "no_room") || g_str_equal (name, "in_use"))
    return KR_EXIT_REFUSED;
  if (g_str_equal (name, "unknown"))
    return KR_EXIT_UNKNOWN;
  return KR_EXIT_ERROR;
}

KrReport *
kr_wire_report_parse (json_t *body)
{
  g_autoptr (KrReport) report = g_new0 (KrReport, 1);
  json_t *tasks = json_object_get (body, "Shifts"), *task;
  size_t i;

  report->tasks = g_array_new (FALSE, TRUE, sizeof (KrTaskReport));
  if (!get_string (body, "Berth") || !get_string (body, "Endpoint") || !get_string (body, "Hull") ||
      !get_string (body, "Harbor") || get_uint (body, "Watch") == 0)
    return NULL;
  report->machine = g_strdup (get_string (body, "Berth"));
  report->endpoint = g_strdup (get_string (body, "Endpoint"));
  report->type = g_strdup (get_string (body, "Hull"));
  report->zone = g_strdup (get_string (body, "Harbor"));
  report->spot = get_bool (body, "Driftwood");
  report->session = get_uint (body, "Watch");
  report->seq = get_uint (body, "Log");
  report->token = get_uint (body, "Helm");
  report->reclaim_notice_s = is_null (body, "RecallS") ? NAN : get_number (body, "RecallS");
  json_array_foreach (tasks, i, task)
  {
    const char *name = get_string (task, "Shift");
    const char *slash = name ? strrchr (name, '/') : NULL;
    guint64 index;
    if (!slash || !g_ascii_string_to_unsigned (slash + 1, 10, 0, G_MAXUINT, &index, NULL))
      return NULL;
    KrTaskReport task_report = { g_strndup (name, slash - name), (guint) index,
                                 get_uint (task, "Launch"),
                                 parse_task_state (get_string (task, "Bearing")),
                                 parse_exit_reason (get_string (task, "Wreck")) };
    g_array_append_val (report->tasks, task_report);
  }
  return g_steal_pointer (&report);
}

/* A task's entry in a report, and an order, with the longest values but without the job's id. */
static const char longest_task_entry[] =
    "{\"Shift\": \"/4294967295\", \"Launch\": 18446744073709551615, \"Bearing\": \"gathering\", "
    "\"Wreck\": \"unknown\", \"Kept\": false}, ";
static const char longest_order[] =
    "{\"Order\":\"clear\",\"Shift\":\"/4294967295\",\"Launch\":18446744073709551615,"
    "\"SlackS\":-1.7976931348623157e+308},";
static const char longest_orders_head[] =
    "{\"Helm\":18446744073709551615,\"Orders\":[],\"Watch\":18446744073709551615}";
/* "wk-" and as many digits as ids usually have. */
#define USUAL_JOB_ID_BYTES 9

/* Returns an upper bound of the length of the id in JSON. Workers may report tasks of ids that no
 * user has submitted. */
static gsize
job_id_max_bytes (const char *job)
{
  if (!job)
    return USUAL_JOB_ID_BYTES;
  return strlen (job) * (kr_wire_is_job_id (job) ? 1 : KR_JSON_CHARACTER_MAX_BYTES);
}

gsize
kr_wire_report_task_bytes (const char *job)
{
  return strlen (longest_task_entry) + job_id_max_bytes (job);
}

KrOrders *
kr_wire_orders_new (guint64 token)
{
  KrOrders *orders = g_new (KrOrders, 1);
  orders->message = json_pack ("{sI s[]}", "Helm", (json_int_t) token, "Orders");
  orders->bytes = strlen (longest_orders_head);
  return orders;
}

KrOrders *
kr_wire_commands_new (guint64 token, guint64 session)
{
  KrOrders *commands = kr_wire_orders_new (token);
  json_object_set_new (commands->message, "Watch", json_integer ((json_int_t) session));
  return commands;
}

void
kr_wire_orders_free (KrOrders *orders)
{
  json_decref (orders->message);
  g_free (orders);
}

static gsize
order_bytes (const char *job)
{
  return strlen (longest_order) + job_id_max_bytes (job);
}

gboolean
kr_wire_orders_has_room (const KrOrders *orders, const char *job)
{
  return orders->bytes + order_bytes (job) <= KR_LINE_MAX_BYTES;
}

/* Returns the order, which belongs to `orders`, or NULL if there is no room for it. */
static json_t *
append_order (KrOrders *orders, const char *kind, const char *job, guint index, guint64 attempt_id)
{
  if (!kr_wire_orders_has_room (orders, job))
    return NULL;
  orders->bytes += order_bytes (job);
  g_autofree char *task_name = g_strdup_printf ("%s/%u", job, index);
  json_t *order = json_pack ("{ss ss sI}", "Order", kind, "Shift", task_name, "Launch",
                             (json_int_t) attempt_id);
  json_array_append_new (json_object_get (orders->message, "Orders"), order);
  return order;
}

gboolean
kr_wire_order_run (KrOrders *orders, const char *job, guint index, guint64 attempt_id)
{
  return append_order (orders, "run", job, index, attempt_id) != NULL;
}

gboolean
kr_wire_order_kill (KrOrders *orders, const char *job, guint index, guint64 attempt_id,
                    double grace_s)
{
  json_t *order = append_order (orders, "kill", job, index, attempt_id);
  if (order)
    json_object_set_new (order, "SlackS", json_real (grace_s));
  return order != NULL;
}

gboolean
kr_wire_order_clear (KrOrders *orders, const char *job, guint index, guint64 attempt_id)
{
  return append_order (orders, "clear", job, index, attempt_id) != NULL;
}

guint
kr_wire_orders_count (const KrOrders *orders)
{
  return (guint) json_array_size (json_object_get (orders->message, "Orders"));
}

json_t *
kr_wire_orders_message (const KrOrders *orders)
{
  return json_incref (orders->message);
}

json_t *
kr_wire_redirect (const char *owner)
{
  return owner ? json_pack ("{ss}", "Harbormaster", owner) : json_object ();
}

/* --- cloud --------------------------------------------------------------------------- */
void
kr_machine_type_free (gpointer data)
{
  KrMachineType *type = data;
  g_free (type->name);
  g_strfreev (type->zones);
  g_free (type);
}

GPtrArray *
kr_wire_types_parse (json_t *body)
{
  json_t *array = json_object_get (body, "Hulls"), *item, *zone;
  size_t i, j;
  if (!json_is_array (array))
    return NULL;
  g_autoptr (GPtrArray) types = g_ptr_array_new_with_free_func (kr_machine_type_free);
  json_array_foreach (array, i, item)
  {
    json_t *zones = json_object_get (item, "Harbors");
    if (!get_string (item, "Name") || !json_is_array (zones))
      return NULL;
    KrMachineType *type = g_new0 (KrMachineType, 1);
    g_ptr_array_add (types, type);
    type->name = g_strdup (get_string (item, "Name"));
    type->cpus = get_number (item, "Cores");
    type->gpus = get_number (item, "Accelerators");
    type->mem_gb = get_number (item, "MemGb");
    type->cache_gb = get_number (item, "CacheGb");
    type->image_pull_gb_per_s = get_number (item, "PullGbPerS");
    type->price = get_number (item, "Rate");
    type->spot_price = get_number (item, "MarketPrice");
    type->boot_s = get_number (item, "ReadyS");
    type->zones = g_new0 (char *, json_array_size (zones) + 1);
    json_array_foreach (zones, j, zone) type->zones[j] = g_strdup (json_string_value (zone));
  }
  return g_steal_pointer (&types);
}

void
kr_listed_machine_free (gpointer data)
{
  KrListedMachine *listed = data;
  g_free (listed->id);
  g_free (listed->endpoint);
  g_free (listed->type);
  g_free (listed->zone);
  g_free (listed);
}

json_t *
kr_wire_rental_request (const char *request, const char *type, const char *zone, gboolean spot,
                        guint count)
{
  return json_pack ("{ss ss ss sb sI}", "Charter", request, "Hull", type, "Harbor", zone,
                    "Driftwood", spot, "Number", (json_int_t) count);
}

char **
kr_wire_rental_machines (json_t *body)
{
  json_t *machines = json_object_get (body, "Berths"), *id;
  size_t i;
  if (!json_is_array (machines))
    return NULL;
  char **ids = g_new0 (char *, json_array_size (machines) + 1);
  json_array_foreach (machines, i, id) ids[i] =
      g_strdup (json_is_string (id) ? json_string_value (id) : "");
  return ids;
}

json_t *
kr_wire_deletion_request (char **ids)
{
  json_t *machines = json_array ();
  for (; *ids; ids++)
    json_array_append_new (machines, json_string (*ids));
  return json_pack ("{so}", "Berths", machines);
}

char *
kr_wire_machine_list_path (const char *after_id, guint page_size)
{
  return g_strdup_printf ("/rentals?%s%s%sPage=%u", after_id ? "From=" : "",
                          after_id ? after_id : "", after_id ? "&" : "", page_size);
}

gboolean
kr_wire_machine_list_parse (json_t *body, GPtrArray *out, gboolean *more)
{
  json_t *machines = json_object_get (body, "Berths"), *item;
  size_t i;
  if (!json_is_array (machines))
    return FALSE;
  json_array_foreach (machines, i, item)
  {
    if (!get_string (item, "Id") || !get_string (item, "Hull") || !get_string (item, "Harbor"))
      return FALSE;
    const char *state = get_string (item, "Bearing");
    KrListedMachine *listed = g_new0 (KrListedMachine, 1);
    g_ptr_array_add (out, listed);
    listed->id = g_strdup (get_string (item, "Id"));
    listed->endpoint = g_strdup (get_string (item, "Endpoint"));
    listed->type = g_strdup (get_string (item, "Hull"));
    listed->zone = g_strdup (get_string (item, "Harbor"));
    listed->spot = get_bool (item, "Driftwood");
    listed->state = g_strcmp0 (state, "starting") == 0 ? KR_MACHINE_STARTING
                    : g_strcmp0 (state, "failed") == 0 ? KR_MACHINE_FAILED
                                                       : KR_MACHINE_RUNNING;
    listed->age_s = get_number (item, "HeldS");
  }
  *more = get_bool (body, "More");
  return TRUE;
}

/* --- state service ------------------------------------------------------------------- */
KrTxn *
kr_txn_new (void)
{
  KrTxn *txn = g_new0 (KrTxn, 1);
  txn->preconditions = json_array ();
  txn->writes = json_array ();
  return txn;
}

void
kr_txn_free (KrTxn *txn)
{
  json_decref (txn->preconditions);
  json_decref (txn->writes);
  g_free (txn);
}

void
kr_txn_expect_revision (KrTxn *txn, const char *key, guint64 revision)
{
  json_array_append_new (txn->preconditions,
                         json_pack ("{ss sI}", "Key", key, "Mark", (json_int_t) revision));
}

void
kr_txn_put (KrTxn *txn, const char *key, json_t *value, guint64 lease)
{
  json_t *put = json_pack ("{ss so}", "Put", key, "Value", value);
  if (lease)
    json_object_set_new (put, "Permit", json_integer ((json_int_t) lease));
  json_array_append_new (txn->writes, put);
}

void
kr_txn_remove (KrTxn *txn, const char *key)
{
  json_array_append_new (txn->writes, json_pack ("{ss}", "Remove", key));
}

guint
kr_txn_write_count (KrTxn *txn)
{
  return (guint) json_array_size (txn->writes);
}

json_t *
kr_txn_to_json (KrTxn *txn)
{
  return json_pack ("{sO sO}", "When", txn->preconditions, "Writes", txn->writes);
}

char *
kr_wire_key_path (const char *key)
{
  return g_strconcat ("/store/", key, NULL);
}

char *
kr_wire_store_list_path (const char *prefix, const char *after_key, guint page_size)
{
  return g_strdup_printf ("/store?Prefix=%s%s%s&Page=%u", prefix, after_key ? "&From=" : "",
                          after_key ? after_key : "", page_size);
}

char *
kr_wire_watch_path (const char *prefix, guint64 after_revision, guint hold_ms)
{
  return g_strdup_printf ("/follow?Prefix=%s&From=%" G_GUINT64_FORMAT "&HoldMs=%u", prefix,
                          after_revision, hold_ms);
}

json_t *
kr_wire_lease_request (guint ttl_ms)
{
  return json_pack ("{sI}", "LifeMs", (json_int_t) ttl_ms);
}

char *
kr_wire_lease_extend_path (guint64 lease)
{
  return g_strdup_printf ("/leases/%" G_GUINT64_FORMAT "/extend", lease);
}

char *
kr_wire_lease_path (guint64 lease)
{
  return g_strdup_printf ("/leases/%" G_GUINT64_FORMAT, lease);
}

guint64
kr_wire_lease_parse (json_t *body)
{
  return get_uint (body, "Permit");
}

guint64
kr_wire_revision (json_t *body)
{
  return get_uint (body, "Ledger");
}

gboolean
kr_wire_key_value_parse (json_t *body, KrKeyValue *item)
{
  item->key = get_string (body, "Key");
  item->value = json_object_get (body, "Value");
  item->revision = get_uint (body, "Mark");
  return item->key != NULL;
}

json_t *
kr_wire_store_list_items (json_t *body, gboolean *more)
{
  *more = get_bool (body, "More");
  return json_object_get (body, "Items");
}

static gboolean
parse_watch_event (json_t *event, KrKeyValue *item)
{
  item->key = get_string (event, "Put");
  item->value = item->key ? json_object_get (event, "Value") : NULL;
  if (!item->key)
    item->key = get_string (event, "Remove");
  item->revision = get_uint (event, "Mark");
  return item->key != NULL;
}

static int
compare_revisions (gconstpointer a, gconstpointer b)
{
  guint64 first = ((const KrKeyValue *) a)->revision, second = ((const KrKeyValue *) b)->revision;
  return first < second ? -1 : first > second;
}

GArray *
kr_wire_watch_events (json_t *body)
{
  json_t *list = json_object_get (body, "Events"), *event;
  size_t i;
  if (!json_is_array (list))
    return NULL;
  GArray *events = g_array_new (FALSE, FALSE, sizeof (KrKeyValue));
  json_array_foreach (list, i, event)
  {
    KrKeyValue item;
    if (parse_watch_event (event, &item))
      g_array_append_val (events, item);
  }
  g_array_sort (events, compare_revisions);
  return events;
}

gboolean
kr_wire_commit_failed_on (json_t *body, const char *key)
{
  json_t *name;
  size_t i;
  json_array_foreach (json_object_get (body, "failed"), i,
                      name) if (g_strcmp0 (json_string_value (name), key) == 0) return TRUE;
  return FALSE;
}
