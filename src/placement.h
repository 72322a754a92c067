/* Placement rules: which tasks may run on which machines (resources, machine types, zones, spot),
 * team quotas, and which tasks may be preempted. No I/O and no global state. */
#pragma once
#include "wire.h"

typedef struct {
  double cpus, gpus, mem_gb;
  double report_bytes; /* of the list of tasks in the worker's report, which has a limit */
} KrResources;

/* The number of a job's tasks that are on machines, including those that pull their image, save a
 * checkpoint, or are unconfirmed. */
typedef struct {
  guint total;   /* in all zones */
  guint in_zone; /* in the zone that a further task may start in */
} KrZoneSpread;

/* Returns the resources of an empty machine of the type. */
KrResources kr_placement_capacity (const KrMachineType *type);
/* Whether a task of the job fits on an empty machine of the type, and the type is one that the job
 * allows and is offered in the job's zone. */
gboolean kr_placement_fits_type (const KrJobSpec *spec, const KrMachineType *type);
/* Whether the job allows machines of this type and zone, spot or on-demand. `type` and `zone` may
 * be NULL if they are not known: then only a job that allows every type or zone allows the machine.
 */
gboolean kr_placement_allowed (const KrJobSpec *spec, const char *type, const char *zone,
                               gboolean spot);
/* Whether one more task may start in the zone: a job may require that all its tasks be in one zone,
 * or that no zone have more than half of them, rounded up. */
gboolean kr_placement_spread_ok (const KrJobSpec *spec, const KrZoneSpread *spread);
/* Whether one task of the job fits into the available resources. */
gboolean kr_resources_fit (const KrResources *available, const KrJobSpec *spec);
/* Subtracts or adds the resources of one task. */
void kr_resources_subtract (KrResources *resources, const KrJobSpec *spec);
void kr_resources_add (KrResources *resources, const KrJobSpec *spec);
/* Whether all tasks of the job together (of an array job, a single task) stay within the team's
 * quota. */
gboolean kr_placement_job_within_quota (const KrTeam *team, const KrJobSpec *spec);
/* Whether a team that uses `used` may start one more task of the job within its quota. */
gboolean kr_placement_task_within_quota (const KrTeam *team, const KrResources *used,
                                         const KrJobSpec *spec);
/* Whether a task of the job `victim` may be preempted for a task of the job `spec`: the victim's
 * priority is lower, or its team is over its guarantee while the team of `spec` stays within its
 * own. */
gboolean kr_placement_may_preempt (const KrJobSpec *spec, const KrTeam *team,
                                   const KrResources *team_used, const KrJobSpec *victim,
                                   const KrTeam *victim_team, const KrResources *victim_used);
/* Returns the share of a machine of the type that one task takes: the largest of its shares of
 * CPUs, GPUs, memory and the worker's report. Never 0, so that callers can divide by it. */
double kr_placement_machine_share (const KrJobSpec *spec, const KrMachineType *type);
