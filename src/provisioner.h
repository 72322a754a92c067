/* The provisioner manages the machines of the whole cluster. Every node reads the cloud's machine
 * list for its own shards. The leader also collects the summaries of all shards, rents machines to
 * meet their total demand, assigns each new machine to a shard, and directs the owners to move
 * machines to other shards or to return unneeded ones to the cloud. */
#pragma once
#include "node.h"
#include "wire.h"

KrProvisioner *kr_provisioner_new (KrNode *node);
void kr_provisioner_free (KrProvisioner *provisioner);
/* The machine was removed from the machine records. */
void kr_provisioner_machine_removed (KrProvisioner *provisioner, const char *id);
/* Requests that the machine list be read at the next tick, e.g. because a shard is being taken
 * over. */
void kr_provisioner_request_list (KrProvisioner *provisioner);
/* All machine records were relisted. */
void kr_provisioner_records_relisted (KrProvisioner *provisioner);
/* This node received a report from a machine that is in no shard's record. */
void kr_provisioner_unassigned_reported (KrProvisioner *provisioner, const KrReport *report);
/* Processes a summary that a shard's owner stored in the state service because no leader had asked
 * for it. Only the leader uses it, and only if it is not older than KR_STORED_SUMMARY_MAX_AGE_S and
 * the leader has received no other summary of the shard for KR_LEADER_SILENCE_S. */
void kr_provisioner_note_summary (KrProvisioner *provisioner, guint shard, json_t *message);
/* Returns the time (monotonic us) at which a leader last asked this node for its summaries, or at
 * which the provisioner was created. */
gint64 kr_provisioner_last_polled (KrProvisioner *provisioner);

/* Paths of the requests that the leader sends to the other nodes. */
#define KR_PEER_SUMMARIES "/summaries"
#define KR_PEER_DIRECTIVES "/wishes"
#define KR_PEER_BUDGET "/budget"
/* Handles the leader's request {"Leader","Writes"}, which temporarily sets the number of writes per
 * second that this node may make to the state service. Returns the HTTP status of the response. */
guint kr_provisioner_handle_write_budget (KrProvisioner *provisioner, json_t *body);
/* Returns {"Parts":[summary, ...],"Backlog"}: the summaries of this node's shards and the number of
 * its queued writes. The caller frees it with json_decref(). */
json_t *kr_provisioner_build_summaries (KrProvisioner *provisioner);
/* Carries out the leader's directives [{"Part","Ids":[...],"To"}]: moves the machines to the shard
 * "To", or returns them to the cloud if "To" is missing. `leader` is the leader's fencing token; 0:
 * unknown. Returns FALSE and does nothing if a newer leader is known. */
gboolean kr_provisioner_apply_directives (KrProvisioner *provisioner, json_t *directives,
                                          guint64 leader);
