package main

// startEngines starts engines in the usual shares of stages, and returns those that decode.
func startEngines(f *farm, prefill, decode int) ([]*engine, error) {
	var decoding []*engine
	for i := range prefill + decode {
		stage := "prefill"
		if i >= prefill {
			stage = "decode"
		}
		e, err := f.start(stage)
		if err != nil {
			return nil, err
		}
		if stage == "decode" {
			decoding = append(decoding, e)
		}
	}
	return decoding, nil
}
