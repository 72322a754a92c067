/* Who is there, who owns which part, who leads: keys below c/ on this node's lease. Ownership is
 * only what the state service shows; a key's revision is the token. */
#pragma once
#include "owner-history.h"
#include "machine-records.h"
#include "settings.h"
#include "state-client.h"

typedef struct {
  char *node; /* NULL: nobody */
  char *incarnation;
  guint64 revision;          /* the token */
  guint64 replaced_revision; /* revision of the key it replaced: an own earlier one, or 0 */
  gint64 free_since;         /* monotonic us, while nobody has it */
  gint64 ours_since;         /* monotonic us, while it is ours */
  gint64 backoff_until;      /* monotonic us until which we do not take it */
  gboolean txn_in_flight;    /* a change of ours is under way */
} KrHolder;

typedef struct KrMembership KrMembership;
typedef struct {
  void (*holder_changed) (guint shard, gpointer data);
  void (*summary_stored) (guint shard, json_t *value,
                          gpointer data); /* told through the state service */
  void (*relisted) (gpointer data); /* all of c/ was read anew, beginning after the last rescan */
} KrMembershipEvents;

KrMembership *kr_membership_new (const KrSettings *settings, KrStateClient *state,
                                 KrMachineRecords *records, GCancellable *cancel,
                                 const KrMembershipEvents *events, gpointer data);
void kr_membership_free (KrMembership *membership);

gboolean
kr_membership_is_synced (KrMembership *membership); /* the state service was read at least once */
const KrHolder *kr_membership_holder (KrMembership *membership, guint shard);
gboolean kr_membership_owns (KrMembership *membership, guint shard);
gboolean kr_membership_is_leader (KrMembership *membership);
const KrHolder *kr_membership_leader (KrMembership *membership);
const KrOwnerHistory *kr_membership_owner_history (KrMembership *membership, guint shard);
/* Feeds what a commit of ours made of it. */
void kr_membership_apply_owner_history (KrMembership *membership, guint shard, json_t *value,
                                        guint64 revision);
/* Reads all of c/ anew; events.scanned follows. */
void kr_membership_relist (KrMembership *membership);

/* Until when (monotonic us) our keys surely stood: when the newest renewal of our lease that was
 * answered went out. */
gint64 kr_membership_lease_confirmed_at (KrMembership *membership);

/* Another node holds the part's key under `token`, as it has seen in the state service. Takes that
 * in, where we have not heard of it yet, and lets go of the part. TRUE: no process of this node
 * will ever answer a machine of the part under a lower token any more: each takes a part only under
 * a key that it sees as its own, and that of `token` is newer. */
gboolean kr_membership_observe_owner (KrMembership *membership, guint shard, const char *node,
                                      guint64 token);

/* Replaces our own key by a newer one, for a newer token. */
void kr_membership_renew_token (KrMembership *membership, guint shard);
/* Gives a part up and keeps off it for a while. */
void kr_membership_release (KrMembership *membership, guint shard, guint keep_off_ms);

/* The lease on which our keys are; 0: none. */
guint64 kr_membership_lease (KrMembership *membership);
/* Writes our presence anew, every KR_NODE_RENEW_MS at most: who probes us sees that we live. */
void kr_membership_refresh_presence (KrMembership *membership);
gboolean kr_membership_is_present (KrMembership *membership, const char *node);
/* The lease that a node's presence names; 0: none (an older node), or something else. */
guint64 kr_membership_presence_lease (json_t *presence);
char *kr_membership_presence_key (const char *node);
/* Written by a peer that gets no answer from a node; the node answers by a newer presence. */
char *kr_membership_probe_key (const char *node, const char *by);
char *kr_membership_owner_key (guint shard);
char *kr_membership_owner_history_key (guint shard);
char *kr_membership_summary_key (guint shard);
#define KR_LEADER_KEY "c/leader"
