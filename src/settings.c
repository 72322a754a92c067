#include "settings.h"
#include "constants.h"
#include <math.h>
#include <string.h>

G_DEFINE_QUARK (kr - settings - error, kr_settings_error)

static void
team_free (gpointer p)
{
  KrTeam *team = p;
  g_free (team->name);
  g_free (team);
}

static void
objective_free (gpointer p)
{
  KrObjective *o = p;
  g_free (o->kind);
  g_free (o->job_class);
  g_free (o);
}

static void
peer_free (gpointer p)
{
  KrPeerSettings *peer = p;
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

/* A walk through the tree that remembers the first fault. */
typedef struct {
  const char *where;
  GError *fault;
} Reader;

static void
fault (Reader *r, const char *field, const char *what)
{
  if (!r->fault)
    g_set_error (&r->fault, KR_SETTINGS_ERROR, 0, "%s%s%s: %s", r->where, *r->where ? "." : "",
                 field, what);
}

static char *
text (Reader *r, json_t *o, const char *field)
{
  json_t *v = json_object_get (o, field);
  if (!json_is_string (v) || !*json_string_value (v)) {
    fault (r, field, v ? "must be a non-empty string" : "is missing");
    return NULL;
  }
  return g_strdup (json_string_value (v));
}

static char *
address (Reader *r, json_t *o, const char *field)
{
  char *s = text (r, o, field);
  const char *colon = s ? strrchr (s, ':') : NULL;
  if (!s)
    return NULL;
  guint64 port = 0;
  g_autofree char *host = colon ? g_strndup (s, colon - s) : NULL;
  if (!colon || !g_hostname_is_ip_address (host) ||
      !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    fault (r, field, "must be an IP address and a port");
  return s;
}

static double
number (Reader *r, json_t *o, const char *field, double least, double most, double fallback)
{
  json_t *v = json_object_get (o, field);
  if (!v && !isnan (fallback))
    return fallback;
  if (!json_is_number (v)) {
    fault (r, field, v ? "must be a number" : "is missing");
    return 0;
  }
  double x = json_number_value (v);
  if (!(x >= least && x <= most)) {
    g_autofree char *m = g_strdup_printf ("must be from %g to %g", least, most);
    fault (r, field, m);
  }
  return x;
}

static json_t *
table (Reader *r, json_t *o, const char *field)
{
  json_t *v = json_object_get (o, field);
  if (!json_is_object (v))
    fault (r, field, v ? "must be a table" : "is missing");
  return v;
}

static int
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static void
read_others (Reader *r, json_t *root, KrSettings *settings)
{
  json_t *others = json_object_get (root, "others"), *t;
  size_t i;
  if (others && !json_is_array (others))
    fault (r, "others", "must be an array of tables");
  r->where = "others";
  json_array_foreach (others, i, t)
  {
    KrPeerSettings *peer = g_new0 (KrPeerSettings, 1);
    g_ptr_array_add (settings->peers, peer);
    peer->name = text (r, t, "node_name");
    peer->zone = text (r, t, "zone");
    peer->addr = address (r, t, "peer_addr");
    if (peer->name)
      g_ptr_array_add (settings->node_names, peer->name);
  }
  r->where = "";
}

static void
read_external (Reader *r, json_t *root, KrSettings *settings)
{
  json_t *external = table (r, root, "external");
  r->where = "external";
  settings->cloud = address (r, external, "cloud");
  settings->state = address (r, external, "state");
  r->where = "";
}

static void
read_teams (Reader *r, json_t *facts, KrSettings *settings)
{
  json_t *teams = json_object_get (facts, "teams"), *t;
  size_t i;
  if (!json_is_array (teams) || json_array_size (teams) == 0)
    fault (r, "teams", "must be a non-empty array of tables");
  r->where = "facts.teams";
  json_array_foreach (teams, i, t)
  {
    KrTeam *team = g_new0 (KrTeam, 1);
    g_ptr_array_add (settings->teams, team);
    team->name = text (r, t, "name");
    team->cpus = number (r, t, "cpus", 0, 1e9, 0);
    team->cpus_max = number (r, t, "cpus_max", 0, 1e9, 0);
    team->gpus = number (r, t, "gpus", 0, 1e9, 0);
    team->gpus_max = number (r, t, "gpus_max", 0, 1e9, 0);
  }
  r->where = "facts";
}

static void
read_objectives (Reader *r, json_t *facts, KrSettings *settings)
{
  json_t *t;
  size_t i;
  r->where = "facts.objectives";
  json_array_foreach (json_object_get (facts, "objectives"), i, t)
  {
    KrObjective *objective = g_new0 (KrObjective, 1);
    g_ptr_array_add (settings->objectives, objective);
    objective->kind = text (r, t, "kind");
    objective->job_class = g_strdup (json_string_value (json_object_get (t, "class")));
    objective->share = number (r, t, "share", 0, 1, 0);
    objective->within_s = number (r, t, "within_s", 0, 1e9, 0);
  }
  r->where = "facts";
}

/* A table of [facts]; what is read next is named below it. */
static json_t *
facts_table (Reader *r, json_t *facts, const char *name, const char *where)
{
  r->where = "facts";
  json_t *t = table (r, facts, name);
  r->where = where;
  return t;
}

static void
read_limits (Reader *r, json_t *facts, KrSettings *settings)
{
  json_t *t = facts_table (r, facts, "workers", "facts.workers");
  settings->report_interval_s = number (r, t, "report_s", 0.01, 3600, NAN);
  settings->worker_lease_s = number (r, t, "lease_s", 0.1, 86400, NAN);
  settings->cancel_limit_s = number (r, t, "cancel_s", 0.1, 86400, NAN);
  t = facts_table (r, facts, "state", "facts.state");
  settings->state_rps = number (r, t, "rps", 0.1, 1e9, NAN);
  settings->state_write_rps = number (r, t, "write_rps", 0.1, 1e9, NAN);
  settings->state_value_kb = number (r, t, "value_kb", 7, 1e6, NAN);
  settings->state_txn_ops = (guint) number (r, t, "txn_ops", 6, 1e6, NAN);
  t = facts_table (r, facts, "cloud", "facts.cloud");
  settings->cloud_rps = number (r, t, "rps", 0.01, 1e9, NAN);
  settings->cloud_list_lag_s = number (r, t, "list_lag_s", 0, 86400, NAN);
  t = facts_table (r, facts, "resources", "facts.resources");
  settings->core_share = number (r, t, "core_share", 0.001, 1e6, 1);
  settings->ram_mb = number (r, t, "ram_mb", 1, 1e9, 256);
  settings->sockets = (guint) number (r, t, "sockets", 64, 1e9, 1024);
}

static void
read_facts (Reader *r, json_t *root, KrSettings *settings)
{
  json_t *facts = table (r, root, "facts");
  r->where = "facts";
  settings->shard_count = (guint) number (r, facts, "size", 1, 64, NAN);
  settings->clock_error_s = number (r, facts, "clock_error_ms", 0, 1e6, 0) / 1000;
  read_teams (r, facts, settings);
  read_objectives (r, facts, settings);
  read_limits (r, facts, settings);
}

/* This node's place among the sorted names. FALSE with an error if a name stands twice. */
static gboolean
sort_names (KrSettings *settings, GError **error)
{
  g_ptr_array_add (settings->node_names, settings->node_name);
  g_ptr_array_sort (settings->node_names, by_name);
  for (guint i = 0; i < settings->node_names->len; i++) {
    if (i && g_strcmp0 (settings->node_names->pdata[i - 1], settings->node_names->pdata[i]) == 0) {
      g_set_error (error, KR_SETTINGS_ERROR, 0, "others.node_name: '%s' stands twice",
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
  Reader r = { "", NULL };

  settings->peers = g_ptr_array_new_with_free_func (peer_free);
  settings->node_names = g_ptr_array_new ();
  settings->teams = g_ptr_array_new_with_free_func (team_free);
  settings->objectives = g_ptr_array_new_with_free_func (objective_free);
  settings->node_name = text (&r, root, "node_name");
  settings->zone = text (&r, root, "zone");
  settings->client_listen = address (&r, root, "client_listen");
  settings->internal_addr = address (&r, root, "internal_addr");
  read_others (&r, root, settings);
  read_external (&r, root, settings);
  read_facts (&r, root, settings);
  if (r.fault) {
    g_propagate_error (error, r.fault);
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
    g_set_error (error, KR_SETTINGS_ERROR, 1, "%s", message ? message : "cannot be read");
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

static double
objective (const KrSettings *settings, const char *kind, const char *job_class, double fallback)
{
  for (guint i = 0; i < settings->objectives->len; i++) {
    const KrObjective *o = settings->objectives->pdata[i];
    if (o->job_class && o->within_s > 0 && g_str_equal (o->kind, kind) &&
        g_str_equal (o->job_class, job_class))
      return o->within_s;
  }
  return fallback;
}

double
kr_settings_finish_goal_s (const KrSettings *settings, const char *job_class)
{
  return objective (settings, "finished", job_class, KR_DEFAULT_FINISH_GOAL_S);
}

double
kr_settings_start_goal_s (const KrSettings *settings, const char *job_class)
{
  return objective (settings, "wait", job_class, KR_DEFAULT_START_GOAL_S);
}
