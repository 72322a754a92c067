/* Cluster membership and leadership: which nodes are present, which node owns which shard, and
 * which node is the leader. All of it is stored in keys below c/ of the state service. A node's
 * presence, its probes of peers and the owner and leader keys that it holds are bound to its lease.
 * Only the state service decides which node owns a shard. The revision of an owner's or leader's
 * key is the holder's fencing token. */
#pragma once
#include "owner-history.h"
#include "machine-records.h"
#include "settings.h"
#include "state-watch.h"

/* Holder of a shard's owner key or of the leader's key, as last read from the state service. */
typedef struct {
  char *node; /* NULL: the key has no holder */
  char *incarnation;
  guint64 revision; /* revision of the key: the fencing token */
  /* Revision of the same node's key that this key replaced; 0: it replaced none. */
  guint64 replaced_revision;
  gint64 free_since;      /* monotonic us; valid while the key has no holder */
  gint64 owned_since;     /* monotonic us; valid while this node holds the key */
  gint64 backoff_until;   /* monotonic us; this node does not acquire the key before */
  gboolean txn_in_flight; /* this node has sent a change of the key that is not answered yet */
} KrHolder;

typedef struct KrMembership KrMembership;
typedef struct {
  /* The shard's owner key was written or deleted, or this node no longer holds the key because of a
   * process stall. */
  void (*holder_changed) (guint shard, gpointer data);
  /* A shard's owner has stored its summary in the state service. */
  void (*summary_stored) (guint shard, json_t *value, gpointer data);
  /* All of c/ was listed; the list was started after the last call of kr_membership_relist(). */
  void (*relisted) (gpointer data);
} KrMembershipEvents;

/* Starts watching c/ and requests a lease. */
KrMembership *kr_membership_new (const KrSettings *settings, KrStateClient *state,
                                 KrMachineRecords *records, GCancellable *cancel,
                                 const KrMembershipEvents *events, gpointer data);
/* Stops all timers, calls and the watch; the memory is not freed. */
void kr_membership_free (KrMembership *membership);

/* TRUE once c/ was listed, since the start or since the last process stall. */
gboolean kr_membership_is_synced (KrMembership *membership);
/* The holders and owner histories that these functions return belong to the membership, which
 * updates them in place. */
const KrHolder *kr_membership_holder (KrMembership *membership, guint shard);
/* TRUE if this incarnation of this node owns the shard. */
gboolean kr_membership_owns (KrMembership *membership, guint shard);
gboolean kr_membership_is_leader (KrMembership *membership);
const KrHolder *kr_membership_leader (KrMembership *membership);
const KrOwnerHistory *kr_membership_owner_history (KrMembership *membership, guint shard);
/* Applies a stored owner history, e.g. one that this node has just committed. */
void kr_membership_apply_owner_history (KrMembership *membership, guint shard, json_t *value,
                                        guint64 revision);
/* Lists all of c/ again; events.relisted is called when that is done. */
void kr_membership_relist (KrMembership *membership);

/* Returns the latest time (monotonic us) at which this node's keys are known to have been valid:
 * the time at which the newest answered renewal of its lease was sent. */
gint64 kr_membership_lease_confirmed_at (KrMembership *membership);

/* Tells this node that `node` holds the shard's owner key under `token`, as that node has read in
 * the state service. If this is newer than what this node knows, it is applied and the shard is
 * closed here. Returns TRUE if no process of this node will ever again answer a machine of the
 * shard under a lower token: a process acquires a shard only under a key that it has read as its
 * own, and the key with `token` is newer. */
gboolean kr_membership_observe_owner (KrMembership *membership, guint shard, const char *node,
                                      guint64 token);

/* Replaces this node's owner key by a new one, so that the shard gets a higher token. */
void kr_membership_renew_token (KrMembership *membership, guint shard);
/* Releases a shard; this node does not acquire it again for `hold_off_ms`. */
void kr_membership_release (KrMembership *membership, guint shard, guint hold_off_ms);

/* The lease to which this node's keys are bound; 0: none. */
guint64 kr_membership_lease (KrMembership *membership);
/* Writes this node's presence again, at most once per KR_NODE_RENEW_MS. A peer that probes this
 * node sees from the new revision that the node is alive. */
void kr_membership_refresh_presence (KrMembership *membership);
gboolean kr_membership_is_present (KrMembership *membership, const char *node);
/* Returns the lease that a node's presence names; 0 if it names none (an older version wrote it) or
 * the value is malformed. */
guint64 kr_membership_presence_lease (json_t *presence);

/* Keys in the state service. The caller frees them with g_free(). */
char *kr_membership_presence_key (const char *node);
/* Key that the peer `by` writes when `node` does not answer it; `node` answers the probe by writing
 * its presence again. */
char *kr_membership_probe_key (const char *node, const char *by);
char *kr_membership_owner_key (guint shard);
char *kr_membership_owner_history_key (guint shard);
char *kr_membership_summary_key (guint shard);
#define KR_LEADER_KEY "c/leader"
