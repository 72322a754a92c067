#include "wire.h"
#include <math.h>
#include <string.h>

/* --- reading fields ------------------------------------------------------------------ */
static const char *
str (json_t *o, const char *field)
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
uint_of (json_t *o, const char *field)
{
  json_t *v = json_object_get (o, field);
  return json_is_integer (v) && json_integer_value (v) >= 0 ? (guint64) json_integer_value (v) : 0;
}

static double
num (json_t *o, const char *field)
{
  return json_number_value (json_object_get (o, field));
}

static gboolean
truth (json_t *o, const char *field)
{
  return json_is_true (json_object_get (o, field));
}

/* --- users --------------------------------------------------------------------------- */
#define JOB_PREFIX "wk-"
static const char *const rank_words[] = { "idle", "normal", "urgent", "critical" };
static const char *const form_words[] = { "array", "gang", "service" };
static const char *const job_words[] = { "pending", "running", "done", "cancelled" };

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

gboolean
kr_wire_is_job_id (const char *id)
{
  gsize n = id ? strlen (id) : 0;
  if (n <= strlen (JOB_PREFIX) || n > 64 || !g_str_has_prefix (id, JOB_PREFIX))
    return FALSE;
  for (const char *p = id + strlen (JOB_PREFIX); *p; p++)
    if (!g_ascii_isdigit (*p))
      return FALSE;
  return TRUE;
}

static gboolean
bad (GError **error, const char *field)
{
  if (error && !*error)
    g_set_error (error, KR_SETTINGS_ERROR, 2, "%s is missing or invalid", field);
  return FALSE;
}

static gboolean
plain (const char *s)
{
  gsize n = s ? strlen (s) : 0;
  return n > 0 && n <= 128 && g_utf8_validate (s, n, NULL);
}

static char *
need_str (json_t *o, const char *field, GError **error)
{
  const char *s = str (o, field);
  if (!plain (s)) {
    bad (error, field);
    return NULL;
  }
  return g_strdup (s);
}

static char *
maybe_str (json_t *o, const char *field, GError **error)
{
  return is_null (o, field) ? NULL : need_str (o, field, error);
}

static double
need_num (json_t *o, const char *field, double least, double most, GError **error)
{
  json_t *v = json_object_get (o, field);
  double x = json_number_value (v);
  if (!json_is_number (v) || !(x >= least && x <= most))
    bad (error, field);
  return x;
}

static gboolean
need_bool (json_t *o, const char *field, GError **error)
{
  json_t *v = json_object_get (o, field);
  if (!json_is_boolean (v))
    bad (error, field);
  return json_is_true (v);
}

static guint
word_of (json_t *o, const char *field, const char *const *words, guint n, GError **error)
{
  const char *s = str (o, field);
  for (guint i = 0; s && i < n; i++)
    if (g_str_equal (s, words[i]))
      return i;
  bad (error, field);
  return 0;
}

/* Only what may be null may be missing: Hulls, Harbor, TideS. */
KrJobSpec *
kr_wire_spec_parse (json_t *body, GError **error)
{
  g_autoptr (KrJobSpec) s = g_new0 (KrJobSpec, 1);
  GError *fault = NULL;

  if (!json_is_object (body)) {
    bad (error, "the body");
    return NULL;
  }
  s->id = need_str (body, "Id", &fault);
  if (s->id && !kr_wire_is_job_id (s->id))
    bad (&fault, "Id");
  s->job_class = need_str (body, "Lane", &fault);
  s->team = need_str (body, "Crew", &fault);
  s->kind = word_of (body, "Form", form_words, G_N_ELEMENTS (form_words), &fault);
  s->priority = word_of (body, "Rank", rank_words, G_N_ELEMENTS (rank_words), &fault);
  if (!json_is_integer (json_object_get (body, "Shifts")))
    bad (&fault, "Shifts");
  s->tasks = (guint) need_num (body, "Shifts", 1, 100000, &fault);
  s->cpus = need_num (body, "Cores", 0, 1e6, &fault);
  s->gpus = need_num (body, "Accelerators", 0, 1e6, &fault);
  s->mem_gb = need_num (body, "MemGb", 0, 1e7, &fault);
  s->image = need_str (body, "Cargo", &fault);
  s->image_gb = need_num (body, "PullGb", 0, 1e6, &fault);
  if (!is_null (body, "Hulls")) {
    json_t *a = json_object_get (body, "Hulls"), *v;
    size_t i, n = json_array_size (a);
    if (!json_is_array (a) || n == 0 || n > 64)
      bad (&fault, "Hulls");
    else {
      s->types = g_new0 (char *, n + 1);
      json_array_foreach (a, i, v)
      {
        if (!plain (json_string_value (v))) {
          bad (&fault, "Hulls");
          break;
        }
        s->types[i] = g_strdup (json_string_value (v));
      }
    }
  }
  s->zone = maybe_str (body, "Harbor", &fault);
  s->one_zone = need_bool (body, "OneZone", &fault);
  s->spread_zones = need_bool (body, "Apart", &fault);
  s->spot_allowed = need_bool (body, "Driftwood", &fault);
  s->run_estimate_s = need_num (body, "SailS", 0, 1e9, &fault);
  s->checkpoint_interval_s = need_num (body, "MooringS", 0, 1e9, &fault);
  s->checkpoint_save_s = need_num (body, "StowS", 0, 1e9, &fault);
  s->deadline_s = is_null (body, "TideS") ? NAN : need_num (body, "TideS", 0, 1e9, &fault);
  if (fault) {
    g_propagate_error (error, fault);
    return NULL;
  }
  return g_steal_pointer (&s);
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
    for (char **t = spec->types; *t; t++)
      json_array_append_new (types, json_string (*t));
  }
  return json_pack ("{ss ss ss ss ss sI sf sf sf ss sf so so sb sb sb sf sf sf so}", "Id", spec->id,
                    "Lane", spec->job_class, "Crew", spec->team, "Form", form_words[spec->kind],
                    "Rank", rank_words[spec->priority], "Shifts", (json_int_t) spec->tasks, "Cores",
                    spec->cpus, "Accelerators", spec->gpus, "MemGb", spec->mem_gb, "Cargo",
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
  return job_words[state];
}

json_t *
kr_wire_job_answer (const char *id, KrJobState state, gboolean counts, guint done, guint running)
{
  json_t *o = json_pack ("{ss ss}", "Id", id, "Bearing", job_words[state]);
  if (counts) {
    json_object_set_new (o, "done", json_integer (done));
    json_object_set_new (o, "running", json_integer (running));
  }
  return o;
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
  const char *rest = path + strlen ("/api/jobs/");
  const char *slash = strchr (rest, '/');
  if (slash && !g_str_equal (slash, "/abort"))
    return KR_ROUTE_NONE;
  if (slash ? !post : !get)
    return KR_ROUTE_BAD_METHOD;
  *id = slash ? g_strndup (rest, slash - rest) : g_strdup (rest);
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
task_state (const char *s)
{
  if (g_strcmp0 (s, "pulling") == 0 || g_strcmp0 (s, "gathering") == 0)
    return KR_TASK_PULLING;
  if (g_strcmp0 (s, "saving") == 0)
    return KR_TASK_SAVING;
  if (g_strcmp0 (s, "exited") == 0)
    return KR_TASK_EXITED;
  return KR_TASK_RUNNING;
}

static KrExitReason
why (const char *s)
{
  if (!s)
    return KR_EXIT_NONE;
  if (g_str_equal (s, "done"))
    return KR_EXIT_DONE;
  /* A gang's tasks end by themselves when others are missing: no failure of theirs. */
  if (g_str_equal (s, "stopped") || g_str_equal (s, "peers") || g_str_equal (s, "alone"))
    return KR_EXIT_STOPPED;
  if (g_str_equal (s, "no_room") || g_str_equal (s, "in_use"))
    return KR_EXIT_REFUSED;
  if (g_str_equal (s, "unknown"))
    return KR_EXIT_UNKNOWN;
  return KR_EXIT_ERROR;
}

KrReport *
kr_wire_report_parse (json_t *body)
{
  g_autoptr (KrReport) r = g_new0 (KrReport, 1);
  json_t *tasks = json_object_get (body, "Shifts"), *t;
  size_t i;

  r->tasks = g_array_new (FALSE, TRUE, sizeof (KrTaskReport));
  if (!str (body, "Berth") || !str (body, "Endpoint") || !str (body, "Hull") ||
      !str (body, "Harbor") || uint_of (body, "Watch") == 0)
    return NULL;
  r->machine = g_strdup (str (body, "Berth"));
  r->endpoint = g_strdup (str (body, "Endpoint"));
  r->type = g_strdup (str (body, "Hull"));
  r->zone = g_strdup (str (body, "Harbor"));
  r->spot = truth (body, "Driftwood");
  r->session = uint_of (body, "Watch");
  r->seq = uint_of (body, "Log");
  r->token = uint_of (body, "Helm");
  r->reclaim_notice_s = is_null (body, "RecallS") ? NAN : num (body, "RecallS");
  json_array_foreach (tasks, i, t)
  {
    const char *name = str (t, "Shift");
    const char *slash = name ? strrchr (name, '/') : NULL;
    guint64 index;
    if (!slash || !g_ascii_string_to_unsigned (slash + 1, 10, 0, G_MAXUINT, &index, NULL))
      return NULL;
    KrTaskReport k = { g_strndup (name, slash - name), (guint) index, uint_of (t, "Launch"),
                       task_state (str (t, "Bearing")), why (str (t, "Wreck")) };
    g_array_append_val (r->tasks, k);
  }
  return g_steal_pointer (&r);
}

json_t *
kr_wire_orders_new (guint64 token)
{
  return json_pack ("{sI s[]}", "Helm", (json_int_t) token, "Orders");
}

json_t *
kr_wire_commands_new (guint64 token, guint64 session)
{
  json_t *o = kr_wire_orders_new (token);
  json_object_set_new (o, "Watch", json_integer ((json_int_t) session));
  return o;
}

static json_t *
order (json_t *orders, const char *word, const char *job, guint index, guint64 attempt_id)
{
  g_autofree char *shift = g_strdup_printf ("%s/%u", job, index);
  json_t *o =
      json_pack ("{ss ss sI}", "Order", word, "Shift", shift, "Launch", (json_int_t) attempt_id);
  json_array_append_new (json_object_get (orders, "Orders"), o);
  return o;
}

void
kr_wire_order_run (json_t *orders, const char *job, guint index, guint64 attempt_id)
{
  order (orders, "run", job, index, attempt_id);
}

void
kr_wire_order_kill (json_t *orders, const char *job, guint index, guint64 attempt_id,
                    double slack_s)
{
  json_object_set_new (order (orders, "kill", job, index, attempt_id), "SlackS",
                       json_real (slack_s));
}

void
kr_wire_order_clear (json_t *orders, const char *job, guint index, guint64 attempt_id)
{
  order (orders, "clear", job, index, attempt_id);
}

guint
kr_wire_orders_count (json_t *orders)
{
  return (guint) json_array_size (json_object_get (orders, "Orders"));
}

json_t *
kr_wire_redirect (const char *node)
{
  return node ? json_pack ("{ss}", "Harbormaster", node) : json_object ();
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
  json_t *a = json_object_get (body, "Hulls"), *o, *z;
  size_t i, k;
  if (!json_is_array (a))
    return NULL;
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func (kr_machine_type_free);
  json_array_foreach (a, i, o)
  {
    json_t *zones = json_object_get (o, "Harbors");
    if (!str (o, "Name") || !json_is_array (zones))
      return NULL;
    KrMachineType *type = g_new0 (KrMachineType, 1);
    g_ptr_array_add (out, type);
    type->name = g_strdup (str (o, "Name"));
    type->cpus = num (o, "Cores");
    type->gpus = num (o, "Accelerators");
    type->mem_gb = num (o, "MemGb");
    type->cache_gb = num (o, "CacheGb");
    type->image_pull_gb_per_s = num (o, "PullGbPerS");
    type->price = num (o, "Rate");
    type->spot_price = num (o, "MarketPrice");
    type->boot_s = num (o, "ReadyS");
    type->zones = g_new0 (char *, json_array_size (zones) + 1);
    json_array_foreach (zones, k, z) type->zones[k] = g_strdup (json_string_value (z));
  }
  return g_steal_pointer (&out);
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
  json_t *a = json_object_get (body, "Berths"), *v;
  size_t i;
  if (!json_is_array (a))
    return NULL;
  char **ids = g_new0 (char *, json_array_size (a) + 1);
  json_array_foreach (a, i, v) ids[i] = g_strdup (json_is_string (v) ? json_string_value (v) : "");
  return ids;
}

json_t *
kr_wire_deletion_request (char **ids)
{
  json_t *a = json_array ();
  for (; *ids; ids++)
    json_array_append_new (a, json_string (*ids));
  return json_pack ("{so}", "Berths", a);
}

char *
kr_wire_machine_list_path (const char *after, guint limit)
{
  return g_strdup_printf ("/rentals?%s%s%sPage=%u", after ? "From=" : "", after ? after : "",
                          after ? "&" : "", limit);
}

gboolean
kr_wire_machine_list_parse (json_t *body, GPtrArray *out, gboolean *more)
{
  json_t *a = json_object_get (body, "Berths"), *o;
  size_t i;
  if (!json_is_array (a))
    return FALSE;
  json_array_foreach (a, i, o)
  {
    if (!str (o, "Id") || !str (o, "Hull") || !str (o, "Harbor"))
      return FALSE;
    const char *s = str (o, "Bearing");
    KrListedMachine *listed = g_new0 (KrListedMachine, 1);
    g_ptr_array_add (out, listed);
    listed->id = g_strdup (str (o, "Id"));
    listed->endpoint = g_strdup (str (o, "Endpoint"));
    listed->type = g_strdup (str (o, "Hull"));
    listed->zone = g_strdup (str (o, "Harbor"));
    listed->spot = truth (o, "Driftwood");
    listed->state = g_strcmp0 (s, "starting") == 0 ? KR_MACHINE_STARTING
                    : g_strcmp0 (s, "failed") == 0 ? KR_MACHINE_FAILED
                                                   : KR_MACHINE_RUNNING;
    listed->age_s = num (o, "HeldS");
  }
  *more = truth (body, "More");
  return TRUE;
}

/* --- state service ------------------------------------------------------------------- */
KrTxn *
kr_txn_new (void)
{
  KrTxn *txn = g_new0 (KrTxn, 1);
  txn->when = json_array ();
  txn->writes = json_array ();
  return txn;
}

void
kr_txn_free (KrTxn *txn)
{
  json_decref (txn->when);
  json_decref (txn->writes);
  g_free (txn);
}

void
kr_txn_expect_revision (KrTxn *txn, const char *key, guint64 revision)
{
  json_array_append_new (txn->when,
                         json_pack ("{ss sI}", "Key", key, "Mark", (json_int_t) revision));
}

void
kr_txn_put (KrTxn *txn, const char *key, json_t *value, guint64 lease)
{
  json_t *o = json_pack ("{ss so}", "Put", key, "Value", value);
  if (lease)
    json_object_set_new (o, "Permit", json_integer ((json_int_t) lease));
  json_array_append_new (txn->writes, o);
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
  return json_pack ("{sO sO}", "When", txn->when, "Writes", txn->writes);
}

char *
kr_wire_key_path (const char *key)
{
  return g_strconcat ("/store/", key, NULL);
}

char *
kr_wire_store_list_path (const char *prefix, const char *after, guint limit)
{
  return g_strdup_printf ("/store?Prefix=%s%s%s&Page=%u", prefix, after ? "&From=" : "",
                          after ? after : "", limit);
}

char *
kr_wire_watch_path (const char *prefix, guint64 after, guint hold_ms)
{
  return g_strdup_printf ("/follow?Prefix=%s&From=%" G_GUINT64_FORMAT "&HoldMs=%u", prefix, after,
                          hold_ms);
}

json_t *
kr_wire_lease_request (guint life_ms)
{
  return json_pack ("{sI}", "LifeMs", (json_int_t) life_ms);
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
  return uint_of (body, "Permit");
}

guint64
kr_wire_revision (json_t *body)
{
  return uint_of (body, "Ledger");
}

gboolean
kr_wire_key_value_parse (json_t *body, KrKeyValue *item)
{
  item->key = str (body, "Key");
  item->value = json_object_get (body, "Value");
  item->revision = uint_of (body, "Mark");
  return item->key != NULL;
}

json_t *
kr_wire_store_list_items (json_t *body, gboolean *more)
{
  *more = truth (body, "More");
  return json_object_get (body, "Items");
}

json_t *
kr_wire_watch_events (json_t *body)
{
  return json_object_get (body, "Events");
}

gboolean
kr_wire_watch_event_parse (json_t *event, KrKeyValue *item)
{
  item->key = str (event, "Put");
  item->value = item->key ? json_object_get (event, "Value") : NULL;
  if (!item->key)
    item->key = str (event, "Remove");
  item->revision = uint_of (event, "Mark");
  return item->key != NULL;
}

gboolean
kr_wire_commit_failed_on (json_t *body, const char *key)
{
  json_t *v;
  size_t i;
  json_array_foreach (json_object_get (body, "failed"), i,
                      v) if (g_strcmp0 (json_string_value (v), key) == 0) return TRUE;
  return FALSE;
}
