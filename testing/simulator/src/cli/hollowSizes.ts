const defaultSizes = [7, 20, 61, 120, 350];

/** The fleet sizes that `pewtersim hollow` measures. */
export function hollowSizes(argument: string | undefined): readonly number[] {
  return argument?.split(',').map(Number) ?? defaultSizes;
}
