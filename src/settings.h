/* The settings file that the platform hands over, checked field by field. */
#pragma once
#include <glib.h>
#include <jansson.h>

typedef struct {
  char *name;
  double cpus, cpus_max, gpus, gpus_max; /* 0: none */
} KrTeam;

typedef struct {
  char *kind, *job_class;
  double share, within_s;
} KrObjective;

typedef struct {
  char *name, *zone, *addr;
} KrPeerSettings;

typedef struct {
  char *node_name, *zone, *client_listen, *internal_addr, *cloud, *state;
  GPtrArray *peers;      /* KrPeerSettings */
  GPtrArray *node_names; /* all node names, sorted: the index is a node's home part */
  guint self_index;      /* our place in names */
  guint shard_count;
  GPtrArray *teams;      /* KrTeam */
  GPtrArray *objectives; /* KrObjective */
  double clock_error_s;
  double report_interval_s, worker_lease_s, cancel_limit_s;
  double state_rps, state_write_rps, state_value_kb;
  guint state_txn_ops;
  double cloud_rps, cloud_list_lag_s;
  double core_share, ram_mb;
  guint sockets;
} KrSettings;

#define KR_SETTINGS_ERROR (kr_settings_error_quark ())
GQuark kr_settings_error_quark (void);

KrSettings *kr_settings_load (const char *path, GError **error);
/* The checks alone, on a tree that stands for the file. */
KrSettings *kr_settings_from_json (json_t *root, GError **error);
void kr_settings_free (KrSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrSettings, kr_settings_free)

/* NULL if there is no such other node. */
const KrPeerSettings *kr_settings_peer (const KrSettings *settings, const char *name);
/* NULL if the team is unknown. */
const KrTeam *kr_settings_team (const KrSettings *settings, const char *name);
/* The part that a team belongs to: its place in the file, dealt round the parts. */
guint kr_settings_shard_of_team (const KrSettings *settings, const char *name);
/* Seconds from submission within which a job of the class should finish; a stated default. */
double kr_settings_finish_goal_s (const KrSettings *settings, const char *job_class);

/* Seconds within which its tasks should start; a stated default. */
double kr_settings_start_goal_s (const KrSettings *settings, const char *job_class);

/* settings_toml.cpp: the file as a JSON tree, or NULL and a message to free with g_free. */
json_t *kr_toml_load (const char *path, char **message);
