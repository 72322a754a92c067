#include "settings.h"
#include "constants.h"
#include <math.h>
#include <string.h>

G_DEFINE_QUARK (kr - settings - error, kr_settings_error)

static void
team_free (gpointer data)
{
  KrTeam *team = data;
  g_free (team->name);
  g_free (team);
}

static void
objective_free (gpointer data)
{
  KrObjective *objective = data;
  g_free (objective->kind);
  g_free (objective->job_class);
  g_free (objective);
}

static void
peer_free (gpointer data)
{
  KrPeerSettings *peer = data;
  g_free (peer->name);
  g_free (peer->zone);
  g_free (peer->addr);
  g_free (peer);
}

void
kr_settings_free (KrSettings *settings)
{
  g_free (settings->node_name);
  g_free (settings->zone);
  g_free (settings->client_listen);
  g_free (settings->internal_addr);
  g_free (settings->cloud);
  g_free (settings->state);
  g_clear_pointer (&settings->peers, g_ptr_array_unref);
  g_clear_pointer (&settings->node_names, g_ptr_array_unref);
  g_clear_pointer (&settings->teams, g_ptr_array_unref);
  g_clear_pointer (&settings->objectives, g_ptr_array_unref);
  g_free (settings);
}

/* Reads the tree and keeps the first error. */
typedef struct {
  const char *path; /* of the table that is being read, e.g. "facts.teams" */
  GError *error;
} Reader;

static void
set_error (Reader *reader, const char *field, const char *message)
{
  if (!reader->error)
    g_set_error (&reader->error, KR_SETTINGS_ERROR, 0, "%s%s%s: %s", reader->path,
                 *reader->path ? "." : "", field, message);
}

static char *
read_string (Reader *reader, json_t *parent, const char *field)
{
  json_t *value = json_object_get (parent, field);
  if (!json_is_string (value) || !*json_string_value (value)) {
    set_error (reader, field, value ? "must be a non-empty string" : "is missing");
    return NULL;
  }
  return g_strdup (json_string_value (value));
}

static char *
read_address (Reader *reader, json_t *parent, const char *field)
{
  char *address = read_string (reader, parent, field);
  const char *colon = address ? strrchr (address, ':') : NULL;
  if (!address)
    return NULL;
  guint64 port = 0;
  g_autofree char *host = colon ? g_strndup (address, colon - address) : NULL;
  if (!colon || !g_hostname_is_ip_address (host) ||
      !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    set_error (reader, field, "must be an IP address and a port");
  return address;
}

/* A missing field gets the value `fallback`. With NAN the field is required. */
static double
read_number (Reader *reader, json_t *parent, const char *field, double minimum, double maximum,
             double fallback)
{
  json_t *value = json_object_get (parent, field);
  if (!value && !isnan (fallback))
    return fallback;
  if (!json_is_number (value)) {
    set_error (reader, field, value ? "must be a number" : "is missing");
    return 0;
  }
  double number = json_number_value (value);
  if (!(number >= minimum && number <= maximum)) {
    g_autofree char *message = g_strdup_printf ("must be from %g to %g", minimum, maximum);
    set_error (reader, field, message);
  }
  return number;
}

static json_t *
read_table (Reader *reader, json_t *parent, const char *field)
{
  json_t *value = json_object_get (parent, field);
  if (!json_is_object (value))
    set_error (reader, field, value ? "must be a table" : "is missing");
  return value;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static void
read_others (Reader *reader, json_t *root, KrSettings *settings)
{
  json_t *others = json_object_get (root, "others"), *table;
  size_t i;
  if (others && !json_is_array (others))
    set_error (reader, "others", "must be an array of tables");
  reader->path = "others";
  json_array_foreach (others, i, table)
  {
    KrPeerSettings *peer = g_new0 (KrPeerSettings, 1);
    g_ptr_array_add (settings->peers, peer);
    peer->name = read_string (reader, table, "node_name");
    peer->zone = read_string (reader, table, "zone");
    peer->addr = read_address (reader, table, "peer_addr");
    if (peer->name)
      g_ptr_array_add (settings->node_names, peer->name);
  }
  reader->path = "";
}

static void
read_external (Reader *reader, json_t *root, KrSettings *settings)
{
  json_t *external = read_table (reader, root, "external");
  reader->path = "external";
  settings->cloud = read_address (reader, external, "cloud");
  settings->state = read_address (reader, external, "state");
  reader->path = "";
}

static void
read_teams (Reader *reader, json_t *facts, KrSettings *settings)
{
  json_t *teams = json_object_get (facts, "teams"), *table;
  size_t i;
  if (!json_is_array (teams) || json_array_size (teams) == 0)
    set_error (reader, "teams", "must be a non-empty array of tables");
  reader->path = "facts.teams";
  json_array_foreach (teams, i, table)
  {
    KrTeam *team = g_new0 (KrTeam, 1);
    g_ptr_array_add (settings->teams, team);
    team->name = read_string (reader, table, "name");
    team->cpus = read_number (reader, table, "cpus", 0, 1e9, 0);
    team->cpus_max = read_number (reader, table, "cpus_max", 0, 1e9, 0);
    team->gpus = read_number (reader, table, "gpus", 0, 1e9, 0);
    team->gpus_max = read_number (reader, table, "gpus_max", 0, 1e9, 0);
  }
  reader->path = "facts";
}

static void
read_objectives (Reader *reader, json_t *facts, KrSettings *settings)
{
  json_t *table;
  size_t i;
  reader->path = "facts.objectives";
  json_array_foreach (json_object_get (facts, "objectives"), i, table)
  {
    KrObjective *objective = g_new0 (KrObjective, 1);
    g_ptr_array_add (settings->objectives, objective);
    objective->kind = read_string (reader, table, "kind");
    objective->job_class = g_strdup (json_string_value (json_object_get (table, "class")));
    objective->share = read_number (reader, table, "share", 0, 1, 0);
    objective->within_s = read_number (reader, table, "within_s", 0, 1e9, 0);
  }
  reader->path = "facts";
}

/* Returns a table of [facts] and makes `path` the path of the fields that are read next. */
static json_t *
read_facts_table (Reader *reader, json_t *facts, const char *name, const char *path)
{
  reader->path = "facts";
  json_t *table = read_table (reader, facts, name);
  reader->path = path;
  return table;
}

static void
read_limits (Reader *reader, json_t *facts, KrSettings *settings)
{
  json_t *table = read_facts_table (reader, facts, "workers", "facts.workers");
  settings->report_interval_s = read_number (reader, table, "report_s", 0.01, 3600, NAN);
  settings->worker_lease_s = read_number (reader, table, "lease_s", 0.1, 86400, NAN);
  settings->cancel_limit_s = read_number (reader, table, "cancel_s", 0.1, 86400, NAN);
  table = read_facts_table (reader, facts, "state", "facts.state");
  settings->state_rps = read_number (reader, table, "rps", 0.1, 1e9, NAN);
  settings->state_write_rps = read_number (reader, table, "write_rps", 0.1, 1e9, NAN);
  settings->state_value_kb = read_number (reader, table, "value_kb", 7, 1e6, NAN);
  settings->state_txn_ops = (guint) read_number (reader, table, "txn_ops", 6, 1e6, NAN);
  table = read_facts_table (reader, facts, "cloud", "facts.cloud");
  settings->cloud_rps = read_number (reader, table, "rps", 0.01, 1e9, NAN);
  settings->cloud_list_lag_s = read_number (reader, table, "list_lag_s", 0, 86400, NAN);
  table = read_facts_table (reader, facts, "resources", "facts.resources");
  settings->core_share = read_number (reader, table, "core_share", 0.001, 1e6, 1);
  settings->ram_mb = read_number (reader, table, "ram_mb", 1, 1e9, 256);
  settings->sockets = (guint) read_number (reader, table, "sockets", 64, 1e9, 1024);
}

static void
read_facts (Reader *reader, json_t *root, KrSettings *settings)
{
  json_t *facts = read_table (reader, root, "facts");
  reader->path = "facts";
  settings->shard_count = (guint) read_number (reader, facts, "size", 1, 64, NAN);
  settings->clock_error_s = read_number (reader, facts, "clock_error_ms", 0, 1e6, 0) / 1000;
  read_teams (reader, facts, settings);
  read_objectives (reader, facts, settings);
  read_limits (reader, facts, settings);
}

/* Sorts the node names and finds this node's index. Returns FALSE and sets `error` if a name is not
 * unique. */
static gboolean
sort_names (KrSettings *settings, GError **error)
{
  g_ptr_array_add (settings->node_names, settings->node_name);
  g_ptr_array_sort (settings->node_names, compare_names);
  for (guint i = 0; i < settings->node_names->len; i++) {
    if (i && g_strcmp0 (settings->node_names->pdata[i - 1], settings->node_names->pdata[i]) == 0) {
      g_set_error (error, KR_SETTINGS_ERROR, 0, "others.node_name: '%s' is not unique",
                   (char *) settings->node_names->pdata[i]);
      return FALSE;
    }
    if (settings->node_names->pdata[i] == settings->node_name)
      settings->self_index = i;
  }
  return TRUE;
}

KrSettings *
kr_settings_from_json (json_t *root, GError **error)
{
  g_autoptr (KrSettings) settings = g_new0 (KrSettings, 1);
  Reader reader = { "", NULL };

  settings->peers = g_ptr_array_new_with_free_func (peer_free);
  settings->node_names = g_ptr_array_new ();
  settings->teams = g_ptr_array_new_with_free_func (team_free);
  settings->objectives = g_ptr_array_new_with_free_func (objective_free);
  settings->node_name = read_string (&reader, root, "node_name");
  settings->zone = read_string (&reader, root, "zone");
  settings->client_listen = read_address (&reader, root, "client_listen");
  settings->internal_addr = read_address (&reader, root, "internal_addr");
  read_others (&reader, root, settings);
  read_external (&reader, root, settings);
  read_facts (&reader, root, settings);
  if (reader.error) {
    g_propagate_error (error, reader.error);
    return NULL;
  }
  return sort_names (settings, error) ? g_steal_pointer (&settings) : NULL;
}

KrSettings *
kr_settings_load (const char *path, GError **error)
{
  g_autofree char *message = NULL;
  json_t *root = kr_toml_load (path, &message);
  if (!root) {
    g_set_error (error, KR_SETTINGS_ERROR, 1, "%s",
                 message ? message : "the settings file cannot be read");
    return NULL;
  }
  KrSettings *settings = kr_settings_from_json (root, error);
  json_decref (root);
  return settings;
}

const KrTeam *
kr_settings_team (const KrSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->teams->len; i++) {
    const KrTeam *team = settings->teams->pdata[i];
    if (g_str_equal (team->name, name))
      return team;
  }
  return NULL;
}

guint
kr_settings_shard_of_team (const KrSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->teams->len; i++)
    if (g_str_equal (((KrTeam *) settings->teams->pdata[i])->name, name))
      return i % settings->shard_count;
  return 0;
}

const KrPeerSettings *
kr_settings_peer (const KrSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->peers->len; i++) {
    const KrPeerSettings *peer = settings->peers->pdata[i];
    if (g_str_equal (peer->name, name))
      return peer;
  }
  return NULL;
}

/* Returns the time of the first objective of this kind for the job class, or `fallback`. */
static double
objective_within_s (const KrSettings *settings, const char *kind, const char *job_class,
                    double fallback)
{
  for (guint i = 0; i < settings->objectives->len; i++) {
    const KrObjective *entry = settings->objectives->pdata[i];
    if (entry->job_class && entry->within_s > 0 && g_str_equal (entry->kind, kind) &&
        g_str_equal (entry->job_class, job_class))
      return entry->within_s;
  }
  return fallback;
}

double
kr_settings_finish_goal_s (const KrSettings *settings, const char *job_class)
{
  return objective_within_s (settings, "finished", job_class, KR_DEFAULT_FINISH_GOAL_S);
}

double
kr_settings_start_goal_s (const KrSettings *settings, const char *job_class)
{
  return objective_within_s (settings, "wait", job_class, KR_DEFAULT_START_GOAL_S);
}
