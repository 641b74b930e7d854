/** What one replica has in flight for this proxy. */
interface TokenLoad {
  running: number;
  /** Prompt tokens and output bounds. */
  tokens: number;
  /** Prompt tokens not yet processed. */
  prefillTokens: number;
}

interface RequestTokens {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

const idle: Readonly<TokenLoad> = { running: 0, tokens: 0, prefillTokens: 0 };

/** Tokens that this proxy has in flight, by replica key. */
export class TokenLoads {
  readonly #loads = new Map<string, TokenLoad>();

  at(key: string): Readonly<TokenLoad> {
    return this.#loads.get(key) ?? idle;
  }

  begin(key: string, { promptTokens, outputTokens }: RequestTokens): void {
    const load = this.#loads.get(key) ?? { ...idle };
    this.#loads.set(key, load);
    load.running += 1;
    load.tokens += promptTokens + outputTokens;
    load.prefillTokens += promptTokens;
  }

  /** The prompt was processed: call once per `begin`, before `end`. */
  prefilled(key: string, { promptTokens }: RequestTokens): void {
    const load = this.#loads.get(key);
    if (load !== undefined) load.prefillTokens -= promptTokens;
  }

  end(key: string, { promptTokens, outputTokens }: RequestTokens): void {
    const load = this.#loads.get(key);
    if (load === undefined) return;
    load.running -= 1;
    load.tokens -= promptTokens + outputTokens;
    if (load.running === 0) this.#loads.delete(key);
  }
}
