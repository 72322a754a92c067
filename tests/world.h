/* Between the stand-ins (world.c) and what carries time and messages: sim.c, in simulated time with
 * nodes in this process, and soak/soak.c, in real time with nodes as processes on loopback. */
#pragma once
#include "http-client.h"
#include "http-server.h"
#include "sim.h"

#define WORLD_MAX_NODES 8
#define WORLD_USER_PORT 8080 /* of a node, for users and workers */
#define WORLD_PEER_PORT 8081 /* of a node, for its peers */

/* A request on its way, and its answer. */
typedef struct {
  char *from, *to, *host, *method, *path; /* from, to: names; host: the address */
  json_t *body;
  gint owner; /* node that asked; -1: the world */
  guint life; /* of that node */
  gboolean over;
  KrReply reply;
  gpointer data;
  guint status;
  json_t *answer;
  gpointer message; /* soak: the HTTP message to be answered; NULL: the world asks */
} Call;

typedef struct {
  SimOptions o;
  GRand *rng;
  gint64 now;       /* us since the start */
  GHashTable *cuts; /* "a>b" -> SimCut */
  GPtrArray *held;  /* Message */
  /* state */
  GHashTable *store;  /* key -> Entry */
  GHashTable *leases; /* id -> Lease */
  GPtrArray *follows; /* Follow */
  GArray *changes;    /* Change */
  guint64 revision, next_lease;
  gboolean outage, refuse[WORLD_MAX_NODES], refuse_reads[WORLD_MAX_NODES];
  double slow, slow_watches;
  guint lose_commits;
  char *hold_prefix; /* of a key that a commit writes, for hold_commits */
  guint hold_commits;
  double hold_commits_s;
  double late_writes, late_commands;
  double write_tokens;
  gint64 write_at;
  /* cloud */
  GHashTable *machines; /* id -> Machine */
  GHashTable *running;  /* "job/index" -> Task that is on a machine */
  guint alive;          /* machines */
  GHashTable *charters;
  guint next_machine;
  gboolean boots_fail, cloud_outage;
  guint deletions_refused; /* names in them */
  /* users */
  GHashTable *jobs; /* id -> User */
  GString *broken;
  gint64 calm_at; /* 0: not yet */
  guint started;
  guint answered[600]; /* to sim_ask, by status */
  guint state_requests, leases_ended;
} World;
extern World world;

/* --- of world.c ---------------------------------------------------------------------- */
void world_start (guint32 seed, const SimOptions *options);
void world_stop (void);
/* What passes from one host to another now, and passing it on after the network's usual delay. */
SimCut world_cut (const char *from, const char *to);
void world_deliver (const char *from, const char *to, GSourceFunc func, gpointer data);
/* A node's settings, as the addresses of the backend make them. */
json_t *world_settings (guint node);
/* A key's value in the state service, or NULL. */
json_t *world_stored (const char *key);
/* Breaks a rule, as the checker sees it. */
void world_broken (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Answers a request to the state service, the cloud or a worker. */
void world_answer (Call *c);
/* A `run` did not reach the machine, for sim_unheard. */
void world_count_unheard (const char *machine);
/* A copy of a request arrives a second to a minute later; nobody reads its answer. */
void world_copy (const char *from, const char *method, const char *to, const char *path,
                 json_t *body);
extern gboolean world_copying; /* a copy is being sent: it has no copies */

/* --- of the backend ------------------------------------------------------------------ */
void world_later (double s, GSourceFunc func, gpointer data);
/* The world asks a node. Takes over `body`. `reply` is called once, with status 0 after timeout_s.
 * The late one leaves `late_s` after it was sent. */
Call *world_call (const char *from, const char *method, const char *address, const char *path,
                  json_t *body, double timeout_s, KrReply reply, gpointer data);
Call *world_call_late (const char *from, const char *method, const char *address, const char *path,
                       json_t *body, double timeout_s, double late_s, KrReply reply, gpointer data);
/* Takes over `body`. */
void world_answer_call (Call *c, guint status, json_t *body);
char *world_node_address (guint node, guint port);
char *world_machine_address (guint number);
/* Of the state service or the cloud, and of a peer, as one node reaches them. */
char *world_state_address (guint node);
char *world_cloud_address (guint node);
char *world_peer_address (guint node, guint peer);
gboolean world_node_alive (guint node);
