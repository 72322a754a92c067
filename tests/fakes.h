/* The fakes' state and the interface between the fakes (fakes.c) and the backend that provides time
 * and messages: sim.c in simulated time with the nodes in this process, or soak/backend.c in real
 * time with the nodes as processes on loopback. */
#pragma once
#include "http-client.h"
#include "http-server.h"
#include "sim.h"

#define SIM_MAX_NODES 8
#define SIM_CLIENT_PORT 8080 /* a node's port for users and workers */
#define SIM_PEER_PORT 8081   /* a node's port for its peers */

/* A request in flight, and its response. */
typedef struct {
  char *from, *to, *host, *method, *path; /* from, to: host names; host: the address */
  json_t *body;
  gint sender_node;  /* the node that sent it; -1: a fake did */
  guint incarnation; /* the sending node's, which changes with each start */
  gboolean completed;
  KrHttpResponseFunc reply;
  gpointer data;
  guint status;
  json_t *response;
  gpointer http_request; /* soak: the KrRequest to respond to; NULL: a fake sent the request */
} Call;

typedef struct {
  SimOptions options;
  GRand *rng;
  GRand *event_rng;         /* of the order of the events in an answer to a watch */
  gint64 now;               /* us since the start */
  GHashTable *links;        /* "from>to" -> SimLinkState */
  GPtrArray *held_messages; /* Message */
  /* state service */
  GHashTable *store;      /* key -> Entry */
  GPtrArray *sorted_keys; /* the keys of `store`, borrowed; NULL: to be sorted again */
  GHashTable *leases;     /* id -> Lease */
  GPtrArray *watches;     /* Watch */
  GArray *changes;        /* Change, in the order of their revisions */
  guint64 revision, next_lease;
  gboolean outage, refuse_node[SIM_MAX_NODES], refuse_range_reads[SIM_MAX_NODES];
  double state_delay_s, watch_delay_s;
  guint drop_commit_responses;
  SimPageFault page_fault; /* of the next break_pages pages */
  guint break_pages;
  guint job_pages_read[SIM_MAX_NODES]; /* of sim_job_pages_read() */
  char *hold_prefix; /* sim_hold_commits(): prefix of a key that the commit puts */
  guint hold_commits, commands_repeated;
  double hold_commits_s;
  double delayed_commit_share, delayed_command_share, repeated_command_share;
  double request_tokens; /* of the rate limit for requests, as of request_tokens_at */
  gint64 request_tokens_at;
  double write_tokens; /* of the rate limit for writes, as of write_tokens_at */
  gint64 write_tokens_at;
  /* cloud */
  GHashTable *machines;      /* id -> Machine */
  GHashTable *running_tasks; /* "job/index" -> Task that runs on a machine */
  guint machines_alive;
  char *zone_without_spot; /* of sim_cloud_no_spot() */
  GHashTable *rentals;     /* request name -> JSON array of the rented machines' ids */
  guint next_machine;
  gboolean fail_boots, cloud_outage;
  guint refused_deletions; /* machine ids in refused deletions */
  /* users */
  GHashTable *jobs; /* id -> User */
  GString *violations;
  gint64 longest_gap_us; /* of sim_longest_gap() */
  gint64 faults_over_at; /* us since the start; 0: faults may still occur */
  guint tasks_started;
  guint response_counts[600]; /* responses to sim_request_async(), by status */
  guint state_requests, leases_revoked;
} Fakes;
extern Fakes fakes;

/* --- implemented by fakes.c -------------------------------------------------------------- */
void fakes_start (guint32 seed, const SimOptions *options);
void fakes_stop (void);
/* Returns the state of the link from one host to another. */
SimLinkState fakes_link_state (const char *from, const char *to);
/* Sends a message over the link: calls `func` after a network delay, after the end of the hold, or
 * never, as the link's state says. */
void fakes_deliver (const char *from, const char *to, GSourceFunc func, gpointer data);
/* Returns a node's settings, with the backend's addresses. The caller owns the reference. */
json_t *fakes_node_settings (guint node);
/* Returns the value of a key in the state service (borrowed), or NULL. */
json_t *fakes_stored_value (const char *key);
/* Records that a rule of the checker was violated. */
void record_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Handles a request to the state service, the cloud or a worker. */
void fakes_handle_request (Call *c);
/* Counts a `run` order to the machine that was lost, for sim_runs_lost(). */
void fakes_count_lost_run (const char *machine);
/* Sends a copy of a request 1 to 60 s later, and ignores its response. */
void fakes_send_duplicate_later (const char *from, const char *method, const char *to,
                                 const char *path, json_t *body);
/* Set while such a copy is sent, so that it isn't duplicated again. */
extern gboolean fakes_sending_duplicate;

/* --- implemented by the backend ---------------------------------------------------------- */
/* Calls `func` once after `s` seconds; its return value is ignored. */
void schedule_after (double s, GSourceFunc func, gpointer data);
/* Sends a request from a fake to a node. Takes over `body`. Calls `reply` once, with status 0 if
 * there is no response within `timeout_s`. fakes_call_delayed() sends the request after `delay_s`;
 * the timeout counts from its call. */
Call *fakes_call (const char *from, const char *method, const char *address, const char *path,
                  json_t *body, double timeout_s, KrHttpResponseFunc reply, gpointer data);
Call *fakes_call_delayed (const char *from, const char *method, const char *address,
                          const char *path, json_t *body, double timeout_s, double delay_s,
                          KrHttpResponseFunc reply, gpointer data);
/* Sends the response to a request. Takes over `body`. */
void fakes_respond (Call *c, guint status, json_t *body);
/* The following return "ip:port". The caller frees it with g_free(). */
char *sim_node_address (guint node, guint port);
char *sim_machine_address (guint number);
/* The addresses at which `node` reaches the state service, the cloud and a peer. */
char *sim_state_address (guint node);
char *sim_cloud_address (guint node);
char *sim_peer_address (guint node, guint peer);
gboolean sim_node_alive (guint node);
