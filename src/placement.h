/* What may go where: room, types, zones, spot, team limits; whom preemption may stop. Pure. */
#pragma once
#include "wire.h"

typedef struct {
  double cpus, gpus, mem_gb;
} KrResources;

/* Where a job's other tasks are now, fetching, saving and in doubt included. */
typedef struct {
  guint total;   /* anywhere */
  guint in_zone; /* in the zone looked at */
} KrZoneSpread;

gboolean kr_placement_fits_type (const KrJobSpec *spec, const KrMachineType *type);
gboolean kr_placement_allowed (const KrJobSpec *spec, const char *type, const char *zone,
                               gboolean spot);
gboolean kr_placement_spread_ok (const KrJobSpec *spec, const KrZoneSpread *spread);
gboolean kr_resources_fit (const KrResources *free, const KrJobSpec *spec);
void kr_resources_subtract (KrResources *room, const KrJobSpec *spec);
void kr_resources_add (KrResources *room, const KrJobSpec *spec);
/* Whether the whole job (array: one task) stays within the team's limit. */
gboolean kr_placement_job_within_quota (const KrTeam *team, const KrJobSpec *spec);
/* Whether a team that uses `used` may start one more such task. */
gboolean kr_placement_task_within_quota (const KrTeam *team, const KrResources *used,
                                         const KrJobSpec *spec);
/* Whether `victim` of a team may be stopped for `spec`: lower Rank; or the victim's team is over
 * its guarantee while the asking team stays within its own. */
gboolean kr_placement_may_preempt (const KrJobSpec *spec, const KrTeam *team,
                                   const KrResources *team_used, const KrJobSpec *victim,
                                   const KrTeam *victim_team, const KrResources *victim_used);
/* Share of a machine of the type that one task takes: the largest of its dimensions. */
double kr_placement_machine_share (const KrJobSpec *spec, const KrMachineType *type);
