/* Between the stand-ins (fakes.c) and what carries time and messages: sim.c, in simulated time with
 * nodes in this process, and soak/soak.c, in real time with nodes as processes on loopback. */
#pragma once
#include "http-client.h"
#include "http-server.h"
#include "sim.h"

#define SIM_MAX_NODES 8
#define SIM_CLIENT_PORT 8080 /* of a node, for users and workers */
#define SIM_PEER_PORT 8081   /* of a node, for its peers */

/* A request on its way, and its answer. */
typedef struct {
  char *from, *to, *host, *method, *path; /* from, to: names; host: the address */
  json_t *body;
  gint owner;        /* node that asked; -1: the world */
  guint incarnation; /* of that node */
  gboolean completed;
  KrHttpResponseFunc reply;
  gpointer data;
  guint status;
  json_t *response;
  gpointer http_request; /* soak: the HTTP message to be answered; NULL: the world asks */
} Call;

typedef struct {
  SimOptions options;
  GRand *rng;
  gint64 now;               /* us since the start */
  GHashTable *links;        /* "a>b" -> SimLinkState */
  GPtrArray *held_messages; /* Message */
  /* state */
  GHashTable *store;  /* key -> Entry */
  GHashTable *leases; /* id -> Lease */
  GPtrArray *watches; /* Follow */
  GArray *changes;    /* Change */
  guint64 revision, next_lease;
  gboolean outage, refuse_node[SIM_MAX_NODES], refuse_range_reads[SIM_MAX_NODES];
  double state_delay_s, watch_delay_s;
  guint drop_commit_responses;
  char *hold_prefix; /* of a key that a commit writes, for hold_commits */
  guint hold_commits;
  double hold_commits_s;
  double delayed_commit_share, delayed_command_share;
  double write_tokens;
  gint64 write_tokens_at;
  /* cloud */
  GHashTable *machines;      /* id -> Machine */
  GHashTable *running_tasks; /* "job/index" -> Task that is on a machine */
  guint machines_alive;      /* machines */
  GHashTable *rentals;
  guint next_machine;
  gboolean fail_boots, cloud_outage;
  guint refused_deletions; /* names in them */
  /* users */
  GHashTable *jobs; /* id -> User */
  GString *violations;
  gint64 faults_over_at; /* 0: not yet */
  guint tasks_started;
  guint response_counts[600]; /* to sim_request_async, by status */
  guint state_requests, leases_revoked;
} Fakes;
extern Fakes fakes;

/* --- of fakes.c ---------------------------------------------------------------------- */
void fakes_start (guint32 seed, const SimOptions *options);
void fakes_stop (void);
/* What passes from one host to another now, and passing it on after the network's usual delay. */
SimLinkState fakes_link_state (const char *from, const char *to);
void fakes_deliver (const char *from, const char *to, GSourceFunc func, gpointer data);
/* A node's settings, as the addresses of the backend make them. */
json_t *fakes_node_settings (guint node);
/* A key's value in the state service, or NULL. */
json_t *fakes_stored_value (const char *key);
/* Breaks a rule, as the checker sees it. */
void record_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Answers a request to the state service, the cloud or a worker. */
void fakes_handle_request (Call *c);
/* A `run` did not reach the machine, for sim_runs_lost. */
void fakes_count_lost_run (const char *machine);
/* A copy of a request arrives a second to a minute later; nobody reads its answer. */
void fakes_send_duplicate_later (const char *from, const char *method, const char *to,
                                 const char *path, json_t *body);
extern gboolean fakes_sending_duplicate; /* a copy is being sent: it has no copies */

/* --- of the backend ------------------------------------------------------------------ */
void schedule_after (double s, GSourceFunc func, gpointer data);
/* The world asks a node. Takes over `body`. `reply` is called once, with status 0 after timeout_s.
 * The late one leaves `late_s` after it was sent. */
Call *fakes_call (const char *from, const char *method, const char *address, const char *path,
                  json_t *body, double timeout_s, KrHttpResponseFunc reply, gpointer data);
Call *fakes_call_delayed (const char *from, const char *method, const char *address,
                          const char *path, json_t *body, double timeout_s, double late_s,
                          KrHttpResponseFunc reply, gpointer data);
/* Takes over `body`. */
void fakes_respond (Call *c, guint status, json_t *body);
char *sim_node_address (guint node, guint port);
char *sim_machine_address (guint number);
/* Of the state service or the cloud, and of a peer, as one node reaches them. */
char *sim_state_address (guint node);
char *sim_cloud_address (guint node);
char *sim_peer_address (guint node, guint peer);
gboolean sim_node_alive (guint node);
