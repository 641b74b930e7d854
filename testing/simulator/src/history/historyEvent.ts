import * as v from 'valibot';

const atMs = v.number();
const key = v.string();
const names = v.array(v.string());

/** One thing that callers, replicas, operators or the harness saw. Histories are lists of these, checked after the fact. */
export const HistoryEvent = v.variant('type', [
  v.strictObject({
    type: v.literal('sent'),
    atMs,
    key,
    service: v.string(),
    idempotent: v.boolean(),
    /** What kind of work it is; recovery is judged for each. */
    kind: v.optional(v.picklist(['streamed', 'whole', 'batch'])),
    quota: v.optional(v.string()),
    front: v.optional(v.string()),
  }),
  v.strictObject({
    type: v.literal('told'),
    atMs,
    key,
    outcome: v.picklist(['returned', 'refused', 'failed', 'cut', 'lost']),
    status: v.optional(v.number()),
    /** Why a return that looked like a success was none. */
    wrong: v.optional(v.string()),
    /** What a stream showed, in the order it came. */
    pieces: v.optional(v.array(v.strictObject({ run: v.string(), number: v.number(), of: v.number() }))),
  }),
  /** `sentMs` is when the front sent it, where the harness saw that; else it is judged by its arrival, which is stricter. */
  v.strictObject({
    type: v.literal('ran'),
    atMs,
    sentMs: v.optional(v.number()),
    key,
    run: v.string(),
    replica: v.string(),
    service: v.string(),
    quota: v.optional(v.string()),
    /** What it read and wrote. */
    bytes: v.optional(v.number()),
  }),
  /** From then on the fleet knew that the replica's instance was over; and that a new one had begun. */
  v.strictObject({ type: v.literal('replicaEnds'), atMs, replica: v.string() }),
  v.strictObject({ type: v.literal('replicaBegins'), atMs, replica: v.string() }),
  /** A plan, and what would be allowed under it. */
  v.strictObject({
    type: v.literal('planned'),
    atMs,
    plan: v.string(),
    base: v.optional(v.number()),
    services: names,
    quotas: names,
    maxItems: v.optional(v.number()),
  }),
  v.strictObject({ type: v.literal('confirmed'), atMs, plan: v.string(), version: v.number(), inForce: v.boolean() }),
  v.strictObject({ type: v.literal('rejected'), atMs, plan: v.string() }),
  /** A front said which version it carries under: of use against it, not for it. */
  v.strictObject({ type: v.literal('carriedUnder'), atMs, front: v.string(), version: v.number() }),
  v.strictObject({
    type: v.literal('configurationRead'),
    askedMs: v.number(),
    atMs,
    version: v.number(),
    revision: v.optional(v.number()),
    plans: names,
  }),
  /** An operator's order in one call: its number and the one that it builds on; whether it must not be taken. */
  v.strictObject({ type: v.literal('ordered'), atMs, order: v.string(), basedOn: v.number(), revision: v.number(), wrong: v.boolean() }),
  /** What a controller answered; a lost answer never reached the operator, and binds all the same. */
  v.strictObject({
    type: v.literal('orderAnswered'),
    atMs,
    order: v.string(),
    outcome: v.picklist(['taken', 'conflict', 'invalid']),
    lost: v.boolean(),
  }),
  v.strictObject({ type: v.literal('batchAccepted'), atMs, batch: v.string(), quota: v.string(), items: names }),
  /** The batch was refused for good: none of its items may ever run. */
  v.strictObject({ type: v.literal('batchRefused'), atMs, batch: v.string(), items: names }),
  v.strictObject({
    type: v.literal('batchRead'),
    askedMs: v.number(),
    atMs,
    batch: v.string(),
    /** `silent`: a time-out or a 5xx, from which nobody learned anything. */
    found: v.picklist(['yes', 'no', 'silent']),
    results: v.array(v.strictObject({ id: v.string(), result: v.string() })),
  }),
  v.strictObject({ type: v.literal('batchEnded'), atMs, batch: v.string() }),
  v.strictObject({ type: v.literal('faulted'), atMs, what: v.string() }),
  v.strictObject({ type: v.literal('repaired'), atMs }),
]);
export type HistoryEvent = v.InferOutput<typeof HistoryEvent>;
