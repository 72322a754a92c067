/* One controller: puts the modules together and runs them on one main loop. */
#pragma once
#include "cloud-client.h"
#include "failure-detector.h"
#include "http-server.h"
#include "membership.h"
#include "settings.h"
#include "state-client.h"

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
  KrWatch *job_watch;       /* follows job/ while a part is ours */
  KrShard **shards;         /* size; NULL: not ours */
  GPtrArray *machine_types; /* KrMachineType; NULL: not yet known */
  KrProvisioner *provisioner;
  KrApi *api;
  KrHttpServer *public_server, *peer_server;
  const char *not_ready_reason; /* why it takes no requests, as logged last; NULL: it does */
  gboolean state_unreachable;   /* a peer reaches the state service and we do not */
  double allotted_write_rate;   /* changes a second that the leader allots, */
  gint64 allotment_expires_at;  /* monotonic us: and until when */
  guint health_timer;
} KrNode;

KrNode *kr_node_new (const KrSettings *settings, GError **error);
void kr_node_run (KrNode *node);
void kr_node_free (KrNode *node);
/* Changes a second to the state service that a node may make as long as none is allotted more. */
double kr_node_base_write_rate (KrNode *node, const char *name);
/* What the leader allots this node, for KR_BUDGET_VALID_S. */
void kr_node_set_write_rate (KrNode *node, double writes);
/* Changes that wait for the limit on this node. */
double kr_node_queued_writes (KrNode *node);
/* Connections to workers at once. */
guint kr_node_worker_connections (const KrSettings *settings);
const KrMachineType *kr_node_machine_type (KrNode *node, const char *name); /* NULL: unknown */
