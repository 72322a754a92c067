#include "placement.h"

/* Tolerance for rounding errors: the amounts are decimal fractions, and their sums are inexact. */
#define ROUNDING_TOLERANCE 1e-6

gboolean
kr_resources_fit (const KrResources *available, const KrJobSpec *spec)
{
  return spec->cpus <= available->cpus + ROUNDING_TOLERANCE &&
         spec->gpus <= available->gpus + ROUNDING_TOLERANCE &&
         spec->mem_gb <= available->mem_gb + ROUNDING_TOLERANCE &&
         (double) kr_wire_report_task_bytes (spec->id) <= available->report_bytes;
}

KrResources
kr_placement_capacity (const KrMachineType *type)
{
  return (KrResources){ type->cpus, type->gpus, type->mem_gb, KR_REPORT_TASKS_MAX_BYTES };
}

gboolean
kr_placement_fits_type (const KrJobSpec *spec, const KrMachineType *type)
{
  KrResources capacity = kr_placement_capacity (type);
  if (spec->types && !g_strv_contains ((const char *const *) spec->types, type->name))
    return FALSE;
  if (spec->zone && !g_strv_contains ((const char *const *) type->zones, spec->zone))
    return FALSE;
  return kr_resources_fit (&capacity, spec);
}

gboolean
kr_placement_allowed (const KrJobSpec *spec, const char *type, const char *zone, gboolean spot)
{
  if (spec->types && (!type || !g_strv_contains ((const char *const *) spec->types, type)))
    return FALSE;
  if (spec->zone && g_strcmp0 (spec->zone, zone) != 0)
    return FALSE;
  return !spot || spec->spot_allowed;
}

gboolean
kr_placement_spread_ok (const KrJobSpec *spec, const KrZoneSpread *spread)
{
  if (spec->one_zone && spread->total != spread->in_zone)
    return FALSE;
  return !spec->spread_zones || spread->in_zone + 1 <= (spec->tasks + 1) / 2;
}

void
kr_resources_subtract (KrResources *resources, const KrJobSpec *spec)
{
  resources->cpus -= spec->cpus;
  resources->gpus -= spec->gpus;
  resources->mem_gb -= spec->mem_gb;
  resources->report_bytes -= (double) kr_wire_report_task_bytes (spec->id);
}

void
kr_resources_add (KrResources *resources, const KrJobSpec *spec)
{
  resources->cpus += spec->cpus;
  resources->gpus += spec->gpus;
  resources->mem_gb += spec->mem_gb;
  resources->report_bytes += (double) kr_wire_report_task_bytes (spec->id);
}

gboolean
kr_placement_task_within_quota (const KrTeam *team, const KrResources *used, const KrJobSpec *spec)
{
  return (team->cpus_max <= 0 || used->cpus + spec->cpus <= team->cpus_max + ROUNDING_TOLERANCE) &&
         (team->gpus_max <= 0 || used->gpus + spec->gpus <= team->gpus_max + ROUNDING_TOLERANCE);
}

gboolean
kr_placement_job_within_quota (const KrTeam *team, const KrJobSpec *spec)
{
  double tasks = spec->kind == KR_JOB_KIND_ARRAY ? 1 : spec->tasks;
  return (team->cpus_max <= 0 || tasks * spec->cpus <= team->cpus_max + ROUNDING_TOLERANCE) &&
         (team->gpus_max <= 0 || tasks * spec->gpus <= team->gpus_max + ROUNDING_TOLERANCE);
}

static gboolean
within_guarantee (const KrTeam *team, const KrResources *used, double cpus, double gpus)
{
  return used->cpus + cpus <= team->cpus + ROUNDING_TOLERANCE &&
         used->gpus + gpus <= team->gpus + ROUNDING_TOLERANCE;
}

gboolean
kr_placement_may_preempt (const KrJobSpec *spec, const KrTeam *team, const KrResources *used,
                          const KrJobSpec *victim, const KrTeam *victim_team,
                          const KrResources *victim_used)
{
  if (victim->priority < spec->priority)
    return TRUE;
  return team != victim_team && within_guarantee (team, used, spec->cpus, spec->gpus) &&
         !within_guarantee (victim_team, victim_used, 0, 0);
}

double
kr_placement_machine_share (const KrJobSpec *spec, const KrMachineType *type)
{
  double share = type->cpus > 0 ? spec->cpus / type->cpus : 0;
  if (type->mem_gb > 0)
    share = MAX (share, spec->mem_gb / type->mem_gb);
  if (type->gpus > 0)
    share = MAX (share, spec->gpus / type->gpus);
  return MAX (share, (double) kr_wire_report_task_bytes (spec->id) / KR_REPORT_TASKS_MAX_BYTES);
}
