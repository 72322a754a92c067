/* The settings file (TOML) that the platform provides, with a check of each field. Unknown fields
 * are ignored. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* A team with its guaranteed resources (cpus, gpus) and its quota (cpus_max, gpus_max). 0: none. */
typedef struct {
  char *name;
  double cpus, cpus_max, gpus, gpus_max;
} KrTeam;

/* A service level objective of a job class. */
typedef struct {
  char *kind;      /* "finished": the job is done; "wait": its tasks have started */
  char *job_class; /* NULL: none given */
  double share;    /* of the jobs; not used */
  double within_s; /* from the job's submission */
} KrObjective;

/* Another node, with the address at which it serves its peers. */
typedef struct {
  char *name, *zone, *addr;
} KrPeerSettings;

typedef struct {
  char *node_name, *zone;
  /* Addresses ("IP address:port"): for users and workers, for peers, of the cloud and of the state
   * service. */
  char *client_listen, *internal_addr, *cloud, *state;
  GPtrArray *peers;      /* KrPeerSettings: the other nodes */
  GPtrArray *node_names; /* sorted; the node at index i has home shard i, if there is one */
  guint self_index;      /* of this node in node_names */
  guint shard_count;     /* setting `size` */
  GPtrArray *teams;      /* KrTeam */
  GPtrArray *objectives; /* KrObjective */
  double clock_error_s;  /* not used */
  double report_interval_s, worker_lease_s;
  double cancel_limit_s; /* time within which the tasks of a cancelled job must end */
  /* Limits of the state service, for all nodes together: requests a second, puts and removes a
   * second, size of a value (in KiB), and puts and removes in a transaction. */
  double state_rps, state_write_rps, state_value_kb;
  guint state_txn_ops;
  double cloud_rps;          /* requests a second, for all nodes together */
  double cloud_list_lag_s;   /* lag of the cloud's machine list */
  double core_share, ram_mb; /* not used */
  guint sockets; /* limit of open sockets; shared out among users' and workers' connections */
} KrSettings;

#define KR_SETTINGS_ERROR (kr_settings_error_quark ())
GQuark kr_settings_error_quark (void);

/* Returns NULL and sets `error`, which names the file or the field, if the file cannot be read or a
 * setting is invalid. */
KrSettings *kr_settings_load (const char *path, GError **error);
/* The same for a JSON tree with the contents of a settings file. */
KrSettings *kr_settings_from_json (json_t *root, GError **error);
void kr_settings_free (KrSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrSettings, kr_settings_free)

/* Returns NULL if there is no other node of this name. */
const KrPeerSettings *kr_settings_peer (const KrSettings *settings, const char *name);
/* Returns NULL if the team is unknown. */
const KrTeam *kr_settings_team (const KrSettings *settings, const char *name);
/* Returns the shard of a team. The teams are assigned to the shards round-robin, in the order of
 * the settings file. */
guint kr_settings_shard_of_team (const KrSettings *settings, const char *name);
/* Returns the time, in seconds from its submission, within which a job of the class should finish,
 * by the class's objective or by default. */
double kr_settings_finish_goal_s (const KrSettings *settings, const char *job_class);
/* Returns the time, in seconds from its submission, within which the tasks of a job of the class
 * should start, by the class's objective or by default. */
double kr_settings_start_goal_s (const KrSettings *settings, const char *job_class);

/* Reads a TOML file into a JSON tree (settings_toml.cpp). Returns NULL and sets *message, which the
 * caller frees with g_free(), if the file cannot be read or is not valid. */
json_t *kr_toml_load (const char *path, char **message);
