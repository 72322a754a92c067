/* Stand-ins for the platform of a small deployment: the state service, the cloud, the workers and
 * the users, as PROTOCOL describes them, and the controllers as separate processes on loopback. A
 * case is a scenario (case.c) on top of them. All times are in seconds since the start. */
#pragma once
#include "http-client.h"
#include "http-server.h"

#define MAX_NODES 8

typedef struct {
  guint nodes;
  const char *zones[8]; /* of the cloud and, in turn, of the controllers; ends with NULL */
  double report_s, lease_s, cancel_s;
  double rps, write_rps, value_kb;
  guint txn_ops;
  const char *next_limits; /* text of [facts.state.next]; NULL: none */
  double cloud_rps, list_lag_s;
  const char *type; /* the only machine type */
  double type_cpus, type_mem, ready_s;
  guint spot_capacity, capacity; /* of each zone */
  guint initial;                 /* on-demand machines that are up at the start */
  const char *teams;             /* TOML of [[facts.teams]] */
  double restart_s;              /* until a controller that has ended is started again */
} Site;

typedef struct Task Task;
typedef struct {
  char *id, *endpoint, *zone;
  gboolean spot, up, gone;
  double rented_at, up_at, gone_at, ready_listed_at;
  guint64 watch, log, helm;
  double lease_from, next_report, last_report, sent_at, token_change;
  gboolean in_flight;
  guint node;
  GPtrArray *tasks; /* Task */
  GHashTable *images;
  KrHttpClient *client;
  KrHttpServer *server;
} Machine;

struct Task {
  char *job;
  guint index;
  guint64 launch;
  const char *state, *why; /* as on the wire */
  double ready_at, end_at;
};

/* A user with one job. */
typedef struct {
  char *id, *team;
  json_t *spec;
  guint tasks;
  double cpus, mem, run_s;
  gboolean accepted, abandoned, finished;
  double submitted_at, accepted_at;
  const char *told; /* the last state that the user was told; "" none */
  guint completed;  /* tasks that have completed */
  guint8 *task_done;
  double completed_at; /* when the last task completed; 0: not yet */
  double first_start;  /* when its first task started; 0: not yet */
  double told_done_at, last_answer_at;
} User;

extern Site site;
extern GPtrArray *machines, *users;
extern guint ended_by_itself; /* controllers' processes that ended by themselves */
/* Limits of the state service that are in force. */
extern double limit_value_kb, limit_write_rps;
extern guint limit_txn_ops;

double now_s (void);
void record (const char *format, ...) G_GNUC_PRINTF (1, 2);
void after (double s, GSourceFunc func, gpointer data); /* the return value is ignored */
User *submit (const char *id, const char *team, const char *lane, const char *rank, guint tasks,
              double cpus, double mem, double run_s, const char *harbor);
void take_machine (Machine *m); /* the cloud takes a spot machine back without a notice */
guint running_tasks (const Machine *m, const char *job); /* job: NULL for all */
double cpus_free (const Machine *m);
gboolean all_ready (void);
/* The time for which a running controller has not answered GET /ready, asked each second. */
double node_silent_s (guint node);

/* --- the scenario ----------------------------------------------------------------------- */
/* Sets `site`. */
void scenario_site (void);
/* Called once all controllers are ready. */
void scenario_start (gboolean trouble);
/* Called every 0.1 s; returns TRUE when the run is over. */
gboolean scenario_tick (gboolean trouble);
/* Returns the exit code: 0 the rule held, 1 it was broken, 2 the case did not run as meant. */
int scenario_result (gboolean trouble);
