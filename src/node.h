/* A node, i.e. one controller process: creates the modules and runs them on one main loop. */
#pragma once
#include "cloud-client.h"
#include "failure-detector.h"
#include "http-server.h"
#include "membership.h"
#include "refusal-log.h"
#include "settings.h"
#include "state-watch.h"

typedef struct KrShard KrShard;
typedef struct KrProvisioner KrProvisioner;
typedef struct KrApi KrApi;

typedef struct KrNode {
  const KrSettings *settings;
  GMainLoop *loop;
  GCancellable *cancel;
  KrStateClient *state_client;
  KrCloudClient *cloud_client;
  KrHttpClient *worker_client, *peer_client;
  KrMachineRecords *machine_records;
  KrMembership *membership;
  KrDetector *detector;
  KrWatch *job_watch;       /* watches job/ while this node owns a shard */
  KrShard **shards;         /* an entry for each shard; NULL: not owned by this node */
  GPtrArray *machine_types; /* KrMachineType; NULL: not known yet */
  KrProvisioner *provisioner;
  KrApi *api;
  KrRefusalLog *refusals;
  KrHttpServer *public_server, *peer_server;
  const char *not_ready_reason; /* as logged last; NULL: the node is ready for requests */
  gboolean state_unreachable;   /* the state service answers a peer, but not this node */
  double allotted_write_rate;   /* writes a second that the leader has allotted this node */
  gint64 allotment_expires_at;  /* monotonic us */
  guint health_timer;
  guint ticks; /* of the health timer, one a second */
} KrNode;

/* Returns NULL and sets `error` if an address cannot be listened on. */
KrNode *kr_node_new (const KrSettings *settings, GError **error);
void kr_node_run (KrNode *node);
/* Stops all activity. Not all memory is freed, since the process ends right after. */
void kr_node_free (KrNode *node);
/* Returns the writes (puts and deletes) a second to the state service that the node `name` may make
 * as long as the leader allots it no other rate. */
double kr_node_base_write_rate (KrNode *node, const char *name);
/* Sets the rate that the leader allots this node, for KR_BUDGET_VALID_S. */
void kr_node_set_write_rate (KrNode *node, double writes_per_s);
/* Returns the number of writes on this node that wait for the rate limit, including those for the
 * ends of jobs. */
double kr_node_queued_writes (KrNode *node);
/* Counts and logs a request that is answered by 400. `field`: the field that is missing or invalid
 * if the body is JSON. `id`: of the job or the machine, NULL if unknown. */
void kr_node_note_malformed (KrNode *node, KrRequest *request, const char *interface,
                             const char *id, const char *field);
/* Returns the limit of concurrent connections to workers. */
guint kr_node_worker_connections (const KrSettings *settings);
const KrMachineType *kr_node_machine_type (KrNode *node, const char *name); /* NULL: unknown */
