import { deflateSync, inflateSync } from 'node:zlib';
import { Decoder, Encoder } from 'cbor-x';
import * as v from 'valibot';
import type { StateMachine } from '@pewterlanding/consensus';
import type { ConfigurationCommand, ConfigurationReturn, ConfigurationShard } from '@pewterlanding/controller';

const Packed = v.instance(Uint8Array);
/** The fastest: what is packed is nearly all zeros. */
const level = 1;

/**
 * The shipped register with its snapshots packed. As they come they take 200 kB from the beginning on, which no case of a few dozen
 * orders outgrows: packed, members compact their logs and send snapshots within a case.
 */
export class PackedShard implements StateMachine<ConfigurationCommand, ConfigurationReturn> {
  readonly rememberedCommands: number | undefined;
  readonly #shard: ConfigurationShard;

  constructor(shard: ConfigurationShard) {
    this.#shard = shard;
    this.rememberedCommands = shard.rememberedCommands;
  }

  read(raw: unknown): ConfigurationCommand {
    return this.#shard.read(raw);
  }

  apply(command: ConfigurationCommand): ConfigurationReturn {
    return this.#shard.apply(command);
  }

  readReturn(raw: unknown): ConfigurationReturn {
    return this.#shard.readReturn(raw);
  }

  snapshot(): unknown {
    return Uint8Array.from(deflateSync(new Encoder({ useRecords: false }).encode(this.#shard.snapshot()), { level }));
  }

  restore(raw: unknown): void {
    const unpacked = inflateSync(v.parse(Packed, raw));
    this.#shard.restore(new Decoder({ useRecords: false }).decode(unpacked));
  }
}
