/* The machines as a whole: every node reads the list for its own parts; the leader rents toward the
 * sum of needs, gives each machine to a part, and has what is not needed returned. */
#pragma once
#include "node.h"
#include "wire.h"

KrRent *kr_rent_new (KrNode *node);
void kr_rent_free (KrRent *rent);
/* A machine is in no part any more. */
void kr_rent_left (KrRent *rent, const char *id);
/* The list is read now: a part is being taken over. */
void kr_rent_list_soon (KrRent *rent);
/* All records were read anew. */
void kr_rent_scanned (KrRent *rent);
/* A machine in no part's record has reported here. */
void kr_rent_seen (KrRent *rent, const KrReport *report);
/* Needs that an owner told through the state service, as no leader asked for them. */
void kr_rent_needs (KrRent *rent, guint part, json_t *summary);
/* Since when (monotonic us) no leader has asked us. */
gint64 kr_rent_asked (KrRent *rent);
/* Peers' requests: a leader asks for the summaries of our parts, and says what to do with machines:
 * [{"Part","Ids":[...],"To"}], no To: to be returned. */
#define KR_PEER_SUMMARIES "/summaries"
#define KR_PEER_WISHES "/wishes"
/* And how many changes a second to the state service this node may make for now, while others have
 * less to write: {"Leader","Writes"}; the answer's status. */
#define KR_PEER_BUDGET "/budget"
guint kr_rent_budget (KrRent *rent, json_t *body);
json_t *kr_rent_summaries (KrRent *rent);
/* `leader`: the leader's token; 0: not told. FALSE: a newer leader is known, nothing was done. */
gboolean kr_rent_fulfil (KrRent *rent, json_t *wishes, guint64 leader);
