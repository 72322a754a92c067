/* What may go where: room, types, zones, spot, team limits; whom preemption may stop. Pure. */
#pragma once
#include "wire.h"

typedef struct {
  double cpus, gpus, mem_gb;
} KrRoom;

/* Where a job's other tasks are now, fetching, saving and in doubt included. */
typedef struct {
  guint total; /* anywhere */
  guint here;  /* in the zone looked at */
} KrSpread;

gboolean kr_place_fits_type (const KrSpec *spec, const KrType *type);
gboolean kr_place_allowed (const KrSpec *spec, const char *type, const char *zone, gboolean spot);
gboolean kr_place_spread_ok (const KrSpec *spec, const KrSpread *spread);
gboolean kr_place_has_room (const KrRoom *free, const KrSpec *spec);
void kr_place_take (KrRoom *room, const KrSpec *spec);
void kr_place_give (KrRoom *room, const KrSpec *spec);
/* Whether the whole job (array: one task) stays within the team's limit. */
gboolean kr_place_job_ok (const KrTeam *team, const KrSpec *spec);
/* Whether a team that uses `used` may start one more such task. */
gboolean kr_place_team_ok (const KrTeam *team, const KrRoom *used, const KrSpec *spec);
/* Whether `victim` of a team may be stopped for `spec`: lower Rank; or the victim's team is over
 * its guarantee while the asking team stays within its own. */
gboolean kr_place_may_stop (const KrSpec *spec, const KrTeam *team, const KrRoom *team_used,
                            const KrSpec *victim, const KrTeam *victim_team,
                            const KrRoom *victim_used);
/* Share of a machine of the type that one task takes: the largest of its dimensions. */
double kr_place_share (const KrSpec *spec, const KrType *type);
