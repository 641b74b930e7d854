import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';

/** What a process must know before it can ask anybody: its own place. Everything else is setup. */
export const BootSettings = v.strictObject({
  fleet: v.pipe(v.string(), v.minLength(1), v.maxLength(80)),
  name: NodeName,
  zone: ZoneName,
  /** Where other processes of the fleet reach this one. */
  listen: Address,
  /** Where others dial it, if that is not where it listens. */
  advertise: v.optional(Address),
  /** Where callers or operators reach this one by HTTP, if it serves any. */
  http: v.optional(Address),
  /** The other half on a front machine: the proxy's agent, or the agent's proxy. */
  beside: v.optional(Address),
  seeds: v.pipe(v.array(Address), v.minLength(1, 'at least one seed address'), v.maxLength(9)),
  dataFolder: v.optional(v.string()),
  /** Whether the fleet starts for the first time, on empty disks. With false an empty disk of a controller machine waits to be taken in. */
  bootstrap: v.optional(v.boolean()),
  /** How often nodes beat, and the silence after which one is doubted. */
  heartbeatMs: v.optional(v.pipe(v.number(), v.minValue(10), v.maxValue(10_000)), 250),
  failureTimeoutMs: v.optional(v.pipe(v.number(), v.minValue(50), v.maxValue(60_000)), 1000),
  /** How long a process may take to end politely. */
  graceMs: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(60_000)), 6500),
  logLevel: v.optional(v.picklist(['info', 'warn', 'error', 'silent']), 'info'),
});
export type BootSettings = v.InferOutput<typeof BootSettings>;
