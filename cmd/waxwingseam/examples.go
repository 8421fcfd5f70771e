package main

// Help implements kong.HelpProvider with an example.
func (serveCommand) Help() string {
	return "Example: waxwingseam serve --settings /etc/waxwingseam/process.ini"
}

// Help implements kong.HelpProvider with an example.
func (checkCommand) Help() string {
	return "Example: waxwingseam check services.ini classes.ini"
}

// Help implements kong.HelpProvider with an example.
func (applyCommand) Help() string {
	return "Example: waxwingseam apply --control 10.0.0.1:7403 --base-revision 41 services.ini classes.ini"
}

// Help implements kong.HelpProvider with an example.
func (getCommand) Help() string {
	return "Example: waxwingseam get --control 10.0.0.1:7403 --revision 41 -o json"
}

// Help implements kong.HelpProvider with an example.
func (historyCommand) Help() string {
	return "Example: waxwingseam history --control 10.0.0.1:7403"
}

// Help implements kong.HelpProvider with an example.
func (diffCommand) Help() string {
	return "Example: waxwingseam diff --control 10.0.0.1:7403 services.ini classes.ini"
}

// Help implements kong.HelpProvider with an example.
func (statusCommand) Help() string {
	return "Example: waxwingseam status --control 10.0.0.1:7403 -o json"
}

// Help implements kong.HelpProvider with an example.
func (drainCommand) Help() string {
	return "Example: waxwingseam drain --control 10.0.0.1:7403 fees-1, and later the same with --undo"
}

// Help implements kong.HelpProvider with an example.
func (initializeCommand) Help() string {
	return "Example: waxwingseam initialize --settings /etc/waxwingseam/process.ini"
}

// Help implements kong.HelpProvider with an example.
func (demoCommand) Help() string {
	return "Example: waxwingseam demo --deployment jnina --surge 10 --seconds 20"
}

// Help implements kong.HelpProvider with an example.
func (explainCommand) Help() string {
	return "Example: waxwingseam explain 9c41d07be2a35f68 node-1.log node-2.log"
}

// Help implements kong.HelpProvider with an example.
func (quarantineCommand) Help() string {
	return "Example: waxwingseam quarantine --control 10.0.0.1:7403 --lift 5e0b7c1d9a2f48c6b3e17d5520f9a841"
}

// Help implements kong.HelpProvider with an example.
func (accountsCommand) Help() string {
	return "Example: waxwingseam accounts --control 10.0.0.1:7403 -o json"
}
