/* The machines as a whole: every node reads the list for its own parts; the leader rents toward the
 * sum of needs, gives each machine to a part, and has what is not needed returned. */
#pragma once
#include "node.h"
#include "wire.h"

KrProvisioner *kr_provisioner_new (KrNode *node);
void kr_provisioner_free (KrProvisioner *provisioner);
/* A machine is in no part any more. */
void kr_provisioner_machine_removed (KrProvisioner *provisioner, const char *id);
/* The list is read now: a part is being taken over. */
void kr_provisioner_request_list (KrProvisioner *provisioner);
/* All records were read anew. */
void kr_provisioner_records_relisted (KrProvisioner *provisioner);
/* A machine in no part's record has reported here. */
void kr_provisioner_unassigned_reported (KrProvisioner *provisioner, const KrReport *report);
/* Needs that an owner told through the state service, as no leader asked for them. */
void kr_provisioner_note_summary (KrProvisioner *provisioner, guint shard, json_t *summary);
/* Since when (monotonic us) no leader has asked us. */
gint64 kr_provisioner_last_polled (KrProvisioner *provisioner);
/* Peers' requests: a leader asks for the summaries of our parts, and says what to do with machines:
 * [{"Part","Ids":[...],"To"}], no To: to be returned. */
#define KR_PEER_SUMMARIES "/summaries"
#define KR_PEER_DIRECTIVES "/wishes"
/* And how many changes a second to the state service this node may make for now, while others have
 * less to write: {"Leader","Writes"}; the answer's status. */
#define KR_PEER_BUDGET "/budget"
guint kr_provisioner_handle_write_budget (KrProvisioner *provisioner, json_t *body);
json_t *kr_provisioner_build_summaries (KrProvisioner *provisioner);
/* `leader`: the leader's token; 0: not told. FALSE: a newer leader is known, nothing was done. */
gboolean kr_provisioner_apply_directives (KrProvisioner *provisioner, json_t *wishes,
                                          guint64 leader);
