/* One controller: puts the modules together and runs them on one main loop. */
#pragma once
#include "cloud.h"
#include "detector.h"
#include "http-server.h"
#include "membership.h"
#include "settings.h"
#include "state.h"

typedef struct KrPart KrPart;
typedef struct KrRent KrRent;
typedef struct KrApi KrApi;

typedef struct KrNode {
  const KrSettings *settings;
  GMainLoop *loop;
  GCancellable *cancel;
  KrState *state;
  KrCloud *cloud;
  KrClient *workers, *peers;
  KrRecords *records;
  KrMembership *membership;
  KrDetector *detector;
  KrFollow *jobs;   /* follows job/ while a part is ours */
  KrPart **parts;   /* size; NULL: not ours */
  GPtrArray *types; /* KrType; NULL: not yet known */
  KrRent *rent;
  KrApi *api;
  KrServer *public_server, *peer_server;
  const char *unready; /* why it takes no requests, as logged last; NULL: it does */
  gboolean state_cut;  /* a peer reaches the state service and we do not */
  double writes;       /* changes a second that the leader allots, */
  gint64 writes_until; /* monotonic us: and until when */
  guint health;
} KrNode;

KrNode *kr_node_new (const KrSettings *settings, GError **error);
void kr_node_run (KrNode *node);
void kr_node_free (KrNode *node);
/* Changes a second to the state service that a node may make as long as none is allotted more. */
double kr_node_base_writes (KrNode *node, const char *name);
/* What the leader allots this node, for KR_BUDGET_VALID_S. */
void kr_node_allot_writes (KrNode *node, double writes);
/* Changes that wait for the limit on this node. */
double kr_node_waiting_writes (KrNode *node);
/* Connections to workers at once. */
guint kr_node_worker_conns (const KrSettings *settings);
const KrType *kr_node_type (KrNode *node, const char *name); /* NULL: unknown */
