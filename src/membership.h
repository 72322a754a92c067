/* Who is there, who owns which part, who leads: keys below c/ on this node's lease. Ownership is
 * only what the state service shows; a key's Mark is the token. */
#pragma once
#include "settings.h"
#include "state.h"

typedef struct {
  char *node; /* NULL: nobody */
  char *incarnation;
  guint64 mark;      /* the token */
  guint64 from;      /* Mark of the key it replaced: an own earlier one, or 0 */
  gint64 free_since; /* monotonic us, while nobody has it */
  gint64 keep_off;   /* monotonic us until which we do not take it */
  gboolean busy;     /* a change of ours is under way */
} KrHolder;

/* A part's machines as they are durable. */
typedef struct {
  json_t *value; /* NULL: none yet */
  guint64 mark;
} KrRecord;

typedef struct KrMembership KrMembership;
typedef struct {
  void (*holder_changed) (guint part, gpointer data);
  void (*record_changed) (guint part, gpointer data);
} KrMembershipEvents;

KrMembership *kr_membership_new (const KrSettings *settings, KrState *state, GCancellable *cancel,
                                 const KrMembershipEvents *events, gpointer data);
void kr_membership_free (KrMembership *self);

gboolean kr_membership_seen (KrMembership *self); /* the state service was read at least once */
const KrHolder *kr_membership_holder (KrMembership *self, guint part);
gboolean kr_membership_owns (KrMembership *self, guint part);
gboolean kr_membership_leads (KrMembership *self);
const KrHolder *kr_membership_leader (KrMembership *self);
KrRecord *kr_membership_record (KrMembership *self, guint part);
/* Its value to change and write back; an empty one if there is none yet. */
json_t *kr_membership_record_copy (KrMembership *self, guint part);
/* Feeds what a read or commit of ours showed, if it is newer than what the watch brought. */
void kr_membership_note_record (KrMembership *self, guint part, json_t *value, guint64 mark);

/* Replaces our own key by a newer one, for a newer token. */
void kr_membership_renew_token (KrMembership *self, guint part);
/* Gives a part up and keeps off it for a while. */
void kr_membership_release (KrMembership *self, guint part, guint keep_off_ms);

char *kr_membership_owner_key (guint part);
char *kr_membership_record_key (guint part);
#define KR_LEADER_KEY "c/leader"
